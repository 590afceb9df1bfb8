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
   * Part of the burst and the used slack that a bucket holds. A seed that has just started waits
   * for as long as its bucket takes to be refilled.
   */
  private static final double CAPACITY_SHARE = 0.4;

  private static final double RESERVE_SHARE = 0.5;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Requests that may be executed in any window over all instances. */
  public double allowed(Quota quota) {
    return declared(quota) * (1 + excess) + slack;
  }

  /**
   * The bucket that holds a quota as a whole. It gives out the rate and the burst of a window, and
   * a part of the slack, evenly over the window; a team may use the burst in each.
   */
  QuotaBucket.Size bucket(Quota quota) {
    double perWindow = perWindow(quota);
    return new QuotaBucket.Size(
        perWindow / (windowNanos / NANOS_PER_SECOND), capacity(quota), perWindow, reserve(quota));
  }

  /**
   * Requests by which the instances may exceed what the buckets give out: half of what is allowed
   * beyond that. The other half covers what goes on while instances or seeds fail.
   */
  double reserve(Quota quota) {
    return RESERVE_SHARE * (allowed(quota) - perWindow(quota));
  }

  private double perWindow(Quota quota) {
    return declared(quota) + USED_SLACK_SHARE * slack;
  }

  /** Tokens that the bucket of a team's first seed holds. */
  double capacity(Quota quota) {
    return CAPACITY_SHARE * (quota.burst() + USED_SLACK_SHARE * slack);
  }

  private double declared(Quota quota) {
    return quota.requestsPerSecond() * windowNanos / NANOS_PER_SECOND + quota.burst();
  }
}
