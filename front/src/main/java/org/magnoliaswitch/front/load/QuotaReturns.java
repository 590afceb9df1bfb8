package org.magnoliaswitch.front.load;

import java.util.random.RandomGenerator;

/**
 * Computes when callers that were refused for their team's quota should retry. Free of I/O and
 * clock; not thread-safe.
 *
 * <p>Load pattern: a team asks for a multiple of its quota, so that most of its callers are refused
 * at about the same time. Each refused caller gets the next point in time at which the rate of this
 * instance allows one more request, so that those who return do not arrive together.
 */
public final class QuotaReturns {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Time constant of the rate of admitted requests. */
  private static final double ADMITTED_SPAN_SECONDS = 2;

  private final DemandRate admitted;
  private long nextNanos;

  public QuotaReturns(long nowNanos) {
    this.admitted = new DemandRate(ADMITTED_SPAN_SECONDS, nowNanos);
    this.nextNanos = nowNanos;
  }

  /** Records an admitted request of the team. */
  public void recordAdmitted(long nowNanos) {
    admitted.add(1, nowNanos);
  }

  /**
   * Returns the time until a refused caller should retry.
   *
   * @param evenRate the team's rate divided by the number of instances
   * @param maxNanos latest time to return; beyond it, the schedule says nothing about the load then
   */
  public long nanos(double evenRate, long maxNanos, RandomGenerator random, long nowNanos) {
    double perSecond = Math.max(evenRate, admitted.perSecond(nowNanos));
    double spacing = NANOS_PER_SECOND / Math.max(1e-3, perSecond);
    long slot = Math.max(nextNanos, nowNanos);
    long delay = (long) (slot - nowNanos + spacing * (0.5 + 0.5 * random.nextDouble()));
    if (delay > maxNanos) {
      return (long) (maxNanos * (0.5 + 0.5 * random.nextDouble()));
    }
    nextNanos = (long) (slot + spacing);
    return delay;
  }
}
