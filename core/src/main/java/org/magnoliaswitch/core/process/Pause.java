package org.magnoliaswitch.core.process;

/**
 * The time for which a server has asked this instance to send it nothing.
 *
 * @param untilNanos monotonic end
 * @param asked whether it has ever asked for one
 */
public record Pause(long untilNanos, boolean asked) {
  /** Never asked for. */
  public static final Pause NONE = new Pause(0, false);

  /** Whether the pause is in force. */
  public boolean active(long nowNanos) {
    return asked && untilNanos - nowNanos > 0;
  }

  /** This pause, or one that begins now if that ends later. */
  public Pause orUntil(long nextUntilNanos) {
    return !asked || nextUntilNanos - untilNanos > 0 ? new Pause(nextUntilNanos, true) : this;
  }
}
