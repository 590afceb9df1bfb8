package org.magnoliaswitch.core.process;

/**
 * A period in which a server that failed too often gets no ordinary requests.
 *
 * @param untilNanos monotonic end of the period
 * @param count number of consecutive ejections, which determines the length of the next one
 */
public record Ejection(long untilNanos, int count) {
  /** Never ejected. */
  public static final Ejection NONE = new Ejection(Long.MIN_VALUE, 0);

  /** Returns whether the ejection is in force. */
  public boolean active(long nowNanos) {
    return count > 0 && untilNanos - nowNanos > 0;
  }
}
