package org.magnoliaswitch.front.load;

import java.util.OptionalLong;

/**
 * Whether a caller whose request was rejected by a server is expected to retry by itself. Stateless
 * and free of I/O.
 *
 * <p>Load pattern: all servers of a service reject a share of their requests, independently of
 * their load, and more requests need a further attempt than the retry budget allows. If a caller's
 * first attempt is refused immediately, the caller retries, which serves it as well as a further
 * attempt of this instance; a caller that has already retried gets no answer at all. The budget is
 * therefore spent first on callers that have already retried.
 *
 * <p>A retrying caller opens a new connection and has less time left than others. Neither sign is
 * reliable alone: some callers open a connection for each request, and some have shorter timeouts
 * from the start. When in doubt, a request counts as the caller's last attempt.
 */
public enum CallerRetry {
  /** The caller is expected to retry after an immediate refusal, with time left to be served. */
  EXPECTED,

  /**
   * No retry is expected: the caller has already retried, has no time left, or sent no deadline.
   */
  NONE;

  /**
   * Share of the longest timeout by which the timeouts of first attempts may differ. A caller whose
   * remaining time is shorter by more than that is assumed to have spent the difference on an
   * earlier attempt.
   */
  private static final double TIMEOUT_SPREAD = 0.25;

  /**
   * Multiple of the usual latency that a retry takes: the round trip, the wait for capacity and the
   * execution.
   */
  private static final double RETRY_FACTOR = 1.5;

  /**
   * Whether a request counts as the first attempt of its caller, and its shorter timeout as a
   * difference between callers.
   *
   * <p>Load pattern: objectives that are short beside the timeouts, which differ by a tenth or more
   * from caller to caller. If that difference counted as spent on an earlier attempt, many first
   * attempts would count as late when they arrive: they would yield capacity, and be answered late
   * although servers are free. Where the difference can be as long as the objective, it says
   * nothing about earlier attempts, also on a new connection.
   *
   * @param usedConnection whether the request arrived on a connection that carried others before
   * @param spentNanos how much less time the caller has than the caller with the longest timeout
   * @param longestNanos timeout of that caller
   * @param objectiveNanos latency objective of the route
   */
  public static boolean firstAttempt(
      boolean usedConnection, long spentNanos, long longestNanos, long objectiveNanos) {
    double spread = TIMEOUT_SPREAD * longestNanos;
    return spentNanos <= spread && (usedConnection || objectiveNanos <= spread);
  }

  /**
   * Estimates whether the caller of a request will retry.
   *
   * @param usedConnection whether the request arrived on a connection that carried others before
   * @param spentNanos how much less time the caller has than the caller with the longest timeout;
   *     empty when it sent no deadline
   * @param remainingNanos time until the caller's deadline
   * @param usualNanos usual latency of such a request
   */
  public static CallerRetry of(
      boolean usedConnection, OptionalLong spentNanos, long remainingNanos, double usualNanos) {
    if (spentNanos.isEmpty()) {
      return NONE;
    }
    long spent = spentNanos.getAsLong();
    boolean firstTry = usedConnection && spent <= TIMEOUT_SPREAD * (spent + remainingNanos);
    return firstTry && remainingNanos > RETRY_FACTOR * usualNanos ? EXPECTED : NONE;
  }
}
