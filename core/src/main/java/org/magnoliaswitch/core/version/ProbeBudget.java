package org.magnoliaswitch.core.version;

/**
 * Hard bound on probes that one backend server receives from all instances together.
 *
 * @param probesPerSecond bound per backend server, averaged over {@link #minIntervalMillis()}
 * @param maxInstances largest number of instances that can be alive at once, replacements included
 */
public record ProbeBudget(double probesPerSecond, int maxInstances) {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /**
   * Least time between two probes of one server by one instance, in milliseconds.
   *
   * <p>With one probe per instance in any window of this length, {@code maxInstances} instances
   * stay within the budget in every such window, whatever each believes of the others.
   */
  public long minIntervalMillis() {
    return (long) Math.ceil(maxInstances / probesPerSecond * MILLIS_PER_SECOND);
  }
}
