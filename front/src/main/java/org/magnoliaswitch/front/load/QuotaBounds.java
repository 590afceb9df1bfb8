package org.magnoliaswitch.front.load;

import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.version.Quota;

/**
 * How the requests of a team are counted against its quota.
 *
 * @param windowNanos any span of this length is counted
 * @param excess share of a quota by which the requests in a window may exceed it
 * @param slack requests by which they may exceed it on top of that
 */
public record QuotaBounds(long windowNanos, double excess, double slack) {
  /**
   * Part of the slack that the buckets give out. The rest, and the excess that grows with the
   * quota, cover requests that the seed has not been told of yet; these grow with the rate as well.
   */
  private static final double USED_SLACK_SHARE = 0.5;

  /**
   * Part of what a window may contain beyond the rate that can be used at once. The rest is
   * refilled over the window, which serves a team that asks for a little more than its rate all the
   * time.
   */
  private static final double CAPACITY_SHARE = 0.4;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Requests that may be executed in any window over all instances. */
  public double allowed(Quota quota) {
    return declared(quota) * (1 + excess) + slack;
  }

  /** Tokens that the buckets of all seeds hold together. */
  double capacity(Quota quota) {
    return CAPACITY_SHARE * beyondRate(quota);
  }

  /**
   * Tokens per second that the buckets of all seeds receive together. A window may contain the
   * burst on top of the rate, so a team may use the burst in each window; with the capacity, the
   * refill of a window adds up to what it may contain.
   */
  double refillPerSecond(Quota quota) {
    return quota.requestsPerSecond()
        + (1 - CAPACITY_SHARE) * beyondRate(quota) / (windowNanos / NANOS_PER_SECOND);
  }

  private double beyondRate(Quota quota) {
    return quota.burst() + USED_SLACK_SHARE * slack;
  }

  private double declared(Quota quota) {
    return quota.requestsPerSecond() * windowNanos / NANOS_PER_SECOND + quota.burst();
  }
}
