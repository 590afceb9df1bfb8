package org.magnoliaswitch.front.load;

import java.util.OptionalLong;

/**
 * What is left to a caller whose request a server has rejected; pure.
 *
 * <p>Load pattern: all servers of a service reject a share of what they get, whatever their load.
 * Many more requests want a second send than the retry budget allows. A caller on its first try
 * that is refused at once comes back and is as well off as with a second send; one that has come
 * back before is lost. So the budget goes to those first.
 *
 * <p>A caller that comes back opens a connection for it, and has less time than others have.
 * Neither sign is trusted alone: some callers open a connection for each request, and some are less
 * patient than others from the start. Whatever is doubtful counts as a last try.
 */
public enum CallerRetry {
  /** Refused at once, the caller comes back and can still be served. */
  EXPECTED,

  /** It has come back before, has no time left to, or does not tell. */
  NONE;

  /** Share of their time by which callers differ in patience; one that lacks more has spent it. */
  private static final double PATIENCE_SPREAD = 0.25;

  /** Multiple of the usual latency that a return takes: the way back, a wait for room, the work. */
  private static final double RETURN_FACTOR = 1.5;

  /**
   * Decides for one request.
   *
   * @param usedConnection whether the request came on a connection that carried others before
   * @param spentNanos how much less time the caller has than the most patient one; absent when it
   *     told no deadline
   * @param leftNanos time that it still waits
   * @param usualNanos usual latency of such a request
   */
  public static CallerRetry of(
      boolean usedConnection, OptionalLong spentNanos, long leftNanos, double usualNanos) {
    if (spentNanos.isEmpty()) {
      return NONE;
    }
    long spent = spentNanos.getAsLong();
    boolean firstTry = usedConnection && spent <= PATIENCE_SPREAD * (spent + leftNanos);
    return firstTry && leftNanos > RETURN_FACTOR * usualNanos ? EXPECTED : NONE;
  }
}
