package org.magnoliaswitch.front.process;

import org.magnoliaswitch.front.version.Route;

/** Usual latency of a route's requests on an undisturbed server, learnt from own answers. */
public final class LatencyBaseline {
  /** Share of the objective assumed before anything is known. */
  private static final double INITIAL_SHARE = 0.4;

  /** Weight of one answer: the last twenty count, so a slow server does not move it. */
  private static final double WEIGHT = 0.05;

  /** One latency counts as at most this multiple of the usual one. */
  private static final double MAX_RATIO = 4;

  private double nanos;

  LatencyBaseline(Route route) {
    this.nanos = INITIAL_SHARE * route.objectiveNanos();
  }

  /** The latency to expect. */
  public double nanos() {
    return nanos;
  }

  /** Takes the latency of a whole answer, divided by the server's slowness at that moment. */
  public void update(double undisturbedNanos) {
    nanos += WEIGHT * (Math.min(undisturbedNanos, MAX_RATIO * nanos) - nanos);
  }
}
