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
   * Part of the allowed excess that the buckets give out. The rest covers requests of instances
   * that the seed has not heard of yet.
   */
  private static final double EXCESS_SHARE = 0.5;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Requests that may be executed in any window over all instances. */
  public double allowed(Quota quota) {
    return declared(quota) * (1 + excess) + slack;
  }

  /** Tokens that the buckets of all seeds hold together. */
  double capacity(Quota quota) {
    return quota.burst() + usedExcess(quota) / 2;
  }

  /**
   * Tokens per second that the buckets of all seeds receive together. With the capacity, they add
   * up to what a window may contain. A team whose rate is below the slack needs a part of the slack
   * as rate: its few requests arrive at random, and some of them would be refused otherwise.
   */
  double refillPerSecond(Quota quota) {
    return quota.requestsPerSecond() + usedExcess(quota) / 2 / (windowNanos / NANOS_PER_SECOND);
  }

  private double usedExcess(Quota quota) {
    return EXCESS_SHARE * (excess * declared(quota) + slack);
  }

  private double declared(Quota quota) {
    return quota.requestsPerSecond() * windowNanos / NANOS_PER_SECOND + quota.burst();
  }
}
