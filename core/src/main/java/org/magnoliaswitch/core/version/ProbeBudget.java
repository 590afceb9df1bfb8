package org.magnoliaswitch.core.version;

/**
 * Hard limit on the probes that one backend server receives from all instances together.
 *
 * @param probesPerSecond limit per backend server, averaged over {@link #minIntervalMillis()}
 * @param maxInstances maximum number of instances that run at the same time, including replacements
 */
public record ProbeBudget(double probesPerSecond, int maxInstances) {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /**
   * Returns the minimum interval between two probes of a server by one instance, in milliseconds.
   *
   * <p>If each instance sends at most one probe in any window of this length, {@code maxInstances}
   * instances stay within the budget in every such window, even if an instance has wrong
   * information about the other instances.
   */
  public long minIntervalMillis() {
    return (long) Math.ceil(maxInstances / probesPerSecond * MILLIS_PER_SECOND);
  }
}
