package org.magnoliaswitch.core.process;

/**
 * A pause in sending to a server that failed too often.
 *
 * @param untilNanos monotonic end; before it the server gets no ordinary requests
 * @param count ejections in a row, which lengthen the next one
 */
public record Ejection(long untilNanos, int count) {
  /** Never ejected. */
  public static final Ejection NONE = new Ejection(Long.MIN_VALUE, 0);

  /** Whether the pause is in force. */
  public boolean active(long nowNanos) {
    return count > 0 && untilNanos - nowNanos > 0;
  }
}
