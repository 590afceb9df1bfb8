package org.magnoliaswitch.front.load;

/**
 * How long a request waits for room before it is refused; pure.
 *
 * <p>Load pattern: servers are full for moments in a burst, or for long in an overload. A request
 * that can still be in time waits as long as it could still be: each answer that comes meanwhile
 * frees a slot for it, and a refusal would cost its caller a try. A late one waits longer: its
 * value no longer falls, and the room that others leave comes and goes.
 */
public final class WaitLimit {
  /** Least part of its objective that a request in time waits. */
  private static final double LEAST_SHARE = 0.125;

  /** Multiple of the usual latency that must be left when a request in time is placed. */
  private static final double RUN_FACTOR = 1.3;

  /** Part of the time its caller has left that a late request waits. */
  private static final double LATE_SHARE = 0.15;

  private WaitLimit() {}

  /**
   * Longest wait since the request was read.
   *
   * @param usualNanos usual latency of such a request
   * @param objectiveNanos latency objective of the route
   * @param patienceNanos time that the caller waited for when the request was read
   */
  public static double nanos(
      Timeliness timeliness, double usualNanos, long objectiveNanos, long patienceNanos) {
    double least = LEAST_SHARE * objectiveNanos;
    return switch (timeliness) {
      case IN_TIME -> Math.max(least, objectiveNanos - RUN_FACTOR * usualNanos);
      case LATE -> Math.max(least, LATE_SHARE * patienceNanos);
    };
  }
}
