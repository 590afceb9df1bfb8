package org.magnoliaswitch.front.load;

/**
 * Computes when an unanswered request is hedged. Stateless and free of I/O.
 *
 * <p>Load pattern: a server hangs, or another process on its machine slows it down while it works.
 * An idempotent request is then sent to a second server, and the first answer counts. The hedge
 * goes out early enough for the second server to answer within the objective, but not before most
 * answers have arrived, since each further attempt draws on the budget that retries need.
 */
public final class HedgeDelay {
  /** Multiple of the usual latency by which most answers have arrived. */
  private static final double USUAL_FACTOR = 1.5;

  /** Below this multiple of the usual latency, every fifth request would be hedged. */
  private static final double MIN_FACTOR = 1.3;

  /** Time reserved for the second answer, as a multiple of the usual latency. */
  private static final double SECOND_ANSWER_FACTOR = 1.05;

  private HedgeDelay() {}

  /**
   * Returns the delay from sending the request to hedging it.
   *
   * @param usualNanos usual latency of such a request
   * @param objectiveRemainingNanos time until the latency objective
   */
  public static long nanos(double usualNanos, long objectiveRemainingNanos) {
    double latest = objectiveRemainingNanos - SECOND_ANSWER_FACTOR * usualNanos;
    if (latest < MIN_FACTOR * usualNanos) {
      // A second answer would be late as well: the hedge only helps against a server that hangs.
      return (long) Math.max((double) objectiveRemainingNanos, 2 * USUAL_FACTOR * usualNanos);
    }
    return (long) Math.min(latest, USUAL_FACTOR * usualNanos);
  }
}
