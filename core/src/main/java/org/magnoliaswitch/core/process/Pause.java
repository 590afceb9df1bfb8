package org.magnoliaswitch.core.process;

/**
 * A time in which a server wants nothing from this instance, as it asked.
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
