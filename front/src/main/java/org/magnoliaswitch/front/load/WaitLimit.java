package org.magnoliaswitch.front.load;

/**
 * How long a request waits for room before it is refused; pure.
 *
 * <p>Load pattern: servers are full for moments in a burst, or for long in an overload. A request
 * that can still be in time waits a moment only, so that its caller has time for another try. A
 * late one waits longer: its value no longer falls, and the room that others leave comes and goes.
 */
public final class WaitLimit {
  /** Part of its objective that a request in time waits. */
  private static final double IN_TIME_SHARE = 0.125;

  /** Part of the time its caller has left that a late request waits. */
  private static final double LATE_SHARE = 0.15;

  private WaitLimit() {}

  /**
   * Longest wait since the request was read.
   *
   * @param objectiveNanos latency objective of the route
   * @param patienceNanos time that the caller waited for when the request was read
   */
  public static double nanos(Chance chance, long objectiveNanos, long patienceNanos) {
    double usual = IN_TIME_SHARE * objectiveNanos;
    return switch (chance) {
      case IN_TIME -> usual;
      case LATE -> Math.max(usual, LATE_SHARE * patienceNanos);
    };
  }
}
