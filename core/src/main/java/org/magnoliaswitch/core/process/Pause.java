package org.magnoliaswitch.core.process;

/**
 * A pause, in which a server has asked this instance to send it no requests.
 *
 * @param untilNanos monotonic end of the pause
 * @param requested whether the server has ever requested a pause
 */
public record Pause(long untilNanos, boolean requested) {
  /** No pause was ever requested. */
  public static final Pause NONE = new Pause(0, false);

  /** Returns whether the pause is in force. */
  public boolean active(long nowNanos) {
    return requested && untilNanos - nowNanos > 0;
  }

  /** Returns this pause, or one with the given end if that is later. */
  public Pause extendedTo(long nextUntilNanos) {
    return !requested || nextUntilNanos - untilNanos > 0 ? new Pause(nextUntilNanos, true) : this;
  }
}
