package org.magnoliaswitch.front.load;

import java.util.random.RandomGenerator;

/**
 * When a refused caller should come back; pure.
 *
 * <p>Load pattern: many callers are refused within the same moment of a burst. Sent back after the
 * same time they would meet again and be refused together, so their returns are spread over about
 * the time in which the servers finish what they hold. Where servers reject a share of all requests
 * at random, waiting changes nothing: the next try has the same chance, and the sooner it comes the
 * likelier it is in time.
 */
public final class RetryAfter {
  /** Why a request is refused. */
  public enum Cause {
    /** All servers are busy. */
    BUSY,

    /** Servers with room rejected it or could not be reached. */
    REJECTED
  }

  /** Part of the usual latency after which the first of those refused by busy servers return. */
  private static final double BUSY_LEAST = 0.5;

  /** Part of it over which they return. */
  private static final double BUSY_SPAN = 1;

  /** The same for rejected ones: only so much that they do not all come in one moment. */
  private static final double REJECTED_SPAN = 0.1;

  /** Where all return if they are not spread. */
  private static final double MIDDLE = 0.5;

  private RetryAfter() {}

  /**
   * Time after the refusal, in nanoseconds.
   *
   * @param usualNanos usual latency of such a request
   */
  public static long nanos(
      Cause cause, double usualNanos, RandomGenerator random, Mechanisms mechanisms) {
    double place = mechanisms.enabled(Mechanism.SPREAD_RETURNS) ? random.nextDouble() : MIDDLE;
    boolean prompt = cause == Cause.REJECTED && mechanisms.enabled(Mechanism.PROMPT_RETURNS);
    return switch (prompt ? Cause.REJECTED : Cause.BUSY) {
      case BUSY -> (long) (usualNanos * (BUSY_LEAST + BUSY_SPAN * place));
      case REJECTED -> (long) (usualNanos * REJECTED_SPAN * place);
    };
  }
}
