package org.magnoliaswitch.core.process;

/**
 * The time for which a server has asked this instance to send it nothing.
 *
 * @param untilNanos monotonic end
 * @param asked whether it has ever asked for one
 */
public record Pause(long untilNanos, boolean requested) {
  /** Never asked for. */
  public static final Pause NONE = new Pause(0, false);

  /** Whether the pause is in force. */
  public boolean active(long nowNanos) {
    return requested && untilNanos - nowNanos > 0;
  }

  /** This pause, or one that begins now if that ends later. */
  public Pause extendedTo(long nextUntilNanos) {
    return !requested || nextUntilNanos - untilNanos > 0 ? new Pause(nextUntilNanos, true) : this;
  }
}
