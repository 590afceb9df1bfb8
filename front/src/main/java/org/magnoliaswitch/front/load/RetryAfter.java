package org.magnoliaswitch.front.load;

import java.util.random.RandomGenerator;

/**
 * Computes when a refused caller should retry. Stateless and free of I/O.
 *
 * <p>Load pattern: many callers are refused at the same moment of a burst. If all of them waited
 * for the same time, they would retry together and be refused again, so their retries are spread
 * over about the time in which the servers finish their outstanding requests. Where servers reject
 * a share of all requests at random, waiting changes nothing: the next attempt has the same chance,
 * and the earlier it arrives the likelier it is answered in time.
 */
public final class RetryAfter {
  /** Reason for a refusal. */
  public enum Cause {
    /**
     * The request could not be sent: all servers are busy, there is no server, the configuration is
     * missing or stale, or the time to send it has passed.
     */
    BUSY,

    /** Servers with capacity rejected the request or were unreachable. */
    REJECTED
  }

  /** Earliest retry after a {@link Cause#BUSY} refusal, as a multiple of the usual latency. */
  private static final double BUSY_MIN_FACTOR = 0.5;

  /** Interval over which these retries are spread, as a multiple of the usual latency. */
  private static final double BUSY_SPREAD_FACTOR = 1;

  /**
   * Interval over which retries after a rejection are spread, as a multiple of the usual latency:
   * just enough that they do not all arrive at the same moment.
   */
  private static final double REJECTED_SPREAD_FACTOR = 0.1;

  /** Position in the interval of all retries when they are not spread. */
  private static final double UNSPREAD_POSITION = 0.5;

  private RetryAfter() {}

  /**
   * Returns the time from the refusal to the retry.
   *
   * @param usualNanos usual latency of such a request
   */
  public static long nanos(
      Cause cause, double usualNanos, RandomGenerator random, Mechanisms mechanisms) {
    double position =
        mechanisms.enabled(Mechanism.SPREAD_RETURNS) ? random.nextDouble() : UNSPREAD_POSITION;
    boolean prompt = cause == Cause.REJECTED && mechanisms.enabled(Mechanism.PROMPT_RETURNS);
    return switch (prompt ? Cause.REJECTED : Cause.BUSY) {
      case BUSY -> (long) (usualNanos * (BUSY_MIN_FACTOR + BUSY_SPREAD_FACTOR * position));
      case REJECTED -> (long) (usualNanos * REJECTED_SPREAD_FACTOR * position);
    };
  }
}
