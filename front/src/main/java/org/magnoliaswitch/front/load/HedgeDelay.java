package org.magnoliaswitch.front.load;

/**
 * When an answer counts as overdue; pure.
 *
 * <p>Load pattern: a server hangs, or a neighbour slows it down while it works. An idempotent
 * request is then sent to a second server, and the first answer counts. It is done so early that
 * the second server can still answer within the objective, but not before most answers are in,
 * since each further send draws on the budget that retries need.
 */
public final class HedgeDelay {
  /** Multiple of the usual latency by which most answers are in. */
  private static final double USUAL_FACTOR = 1.5;

  /** Below this multiple of the usual latency every fifth request would be sent twice. */
  private static final double LEAST_FACTOR = 1.3;

  /** Room for the second answer, as a multiple of the usual latency. */
  private static final double SECOND_FACTOR = 1.05;

  private HedgeDelay() {}

  /**
   * Time after a send.
   *
   * @param usualNanos usual latency of such a request
   * @param objectiveLeftNanos time until the answer loses most of its value
   */
  public static long nanos(double usualNanos, long objectiveLeftNanos) {
    double latest = objectiveLeftNanos - SECOND_FACTOR * usualNanos;
    if (latest < LEAST_FACTOR * usualNanos) {
      // A second answer would be late as well: it only helps against a server that hangs.
      return (long) Math.max((double) objectiveLeftNanos, 2 * USUAL_FACTOR * usualNanos);
    }
    return (long) Math.min(latest, USUAL_FACTOR * usualNanos);
  }
}
