package org.magnoliaswitch.front.process;

import org.magnoliaswitch.front.version.Route;

/**
 * Expected latency of a route's requests on an undisturbed server: a moving average over the
 * responses to this instance.
 */
public final class LatencyBaseline {
  /** Fraction of the latency objective that is assumed before the first response. */
  private static final double INITIAL_SHARE = 0.4;

  /**
   * Weight of one response: the average covers about the last twenty, so a slow server does not
   * shift it.
   */
  private static final double WEIGHT = 0.05;

  /** A single latency counts as at most this multiple of the average. */
  private static final double MAX_RATIO = 4;

  private double nanos;

  LatencyBaseline(Route route) {
    this.nanos = INITIAL_SHARE * route.objectiveNanos();
  }

  /** Returns the moving average in nanoseconds. */
  public double nanos() {
    return nanos;
  }

  /**
   * Adds the latency of a complete response, divided by the slowness of the server at that time.
   */
  public void update(double undisturbedNanos) {
    nanos += WEIGHT * (Math.min(undisturbedNanos, MAX_RATIO * nanos) - nanos);
  }
}
