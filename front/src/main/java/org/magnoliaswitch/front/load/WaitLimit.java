package org.magnoliaswitch.front.load;

/**
 * Computes how long a request waits for capacity before it is refused. Stateless and free of I/O.
 *
 * <p>Load pattern: servers are full for moments during a burst, or for long during an overload. A
 * timely request waits for as long as it can still be answered in time: each answer that arrives
 * meanwhile frees a slot for it, and a refusal would cost its caller an attempt. The wait of a late
 * request depends on its caller's timeout instead: its value does not decrease any further, and
 * spare capacity comes and goes.
 */
public final class WaitLimit {
  /** Minimum wait of any request, timely or late, as a share of its objective. */
  private static final double MIN_OBJECTIVE_SHARE = 0.125;

  /**
   * Multiple of the usual latency that the wait of a timely request leaves of its objective, unless
   * the minimum wait is longer.
   */
  private static final double RUN_FACTOR = 1.3;

  /** Share of the caller's timeout that a late request waits, counted from when it was read. */
  private static final double LATE_SHARE = 0.15;

  private WaitLimit() {}

  /**
   * Returns the maximum wait since the request was read.
   *
   * @param usualNanos usual latency of such a request
   * @param objectiveNanos latency objective of the route
   * @param callerTimeoutNanos time until the caller's deadline when the request was read
   */
  public static double nanos(
      Timeliness timeliness, double usualNanos, long objectiveNanos, long callerTimeoutNanos) {
    double minNanos = MIN_OBJECTIVE_SHARE * objectiveNanos;
    return switch (timeliness) {
      case IN_TIME -> Math.max(minNanos, objectiveNanos - RUN_FACTOR * usualNanos);
      case LATE -> Math.max(minNanos, LATE_SHARE * callerTimeoutNanos);
    };
  }
}
