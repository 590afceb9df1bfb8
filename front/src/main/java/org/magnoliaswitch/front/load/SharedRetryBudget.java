package org.magnoliaswitch.front.load;

import java.util.concurrent.TimeUnit;

/**
 * This instance's share of a service's budget for further sends.
 *
 * <p>Over all instances together, sends beyond the first of each request must stay under a ratio of
 * the requests plus a slack in any window. Each instance keeps to the ratio of its own requests in
 * the last window and to an even share of the slack, so uneven traffic cannot break the sum.
 *
 * <p>A share is seldom a whole number. Rounded down everywhere, much of the budget would be lost
 * where there are many instances; each rounds at a point of its own instead, so that the sum over
 * many is what is allowed.
 */
public final class SharedRetryBudget {
  private static final int BUCKETS = 20;

  /**
   * Part that callers may use who could come back instead. The rest suffices for those who cannot
   * while every second request is rejected.
   */
  private static final double RETURNING_SHARE = 0.4;

  private final Limits limits;
  private final double roundUpFrom;
  private final long bucketNanos;
  private final int[] requests = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];
  private long currentBucket = Long.MIN_VALUE;

  /**
   * The rule the sum over all instances must keep.
   *
   * @param ratio further sends per request
   * @param slack further sends allowed besides, over all instances
   * @param windowNanos the span over which both count
   */
  public record Limits(double ratio, double slack, long windowNanos) {
    /** Own margin below the ratio: what is in flight while a window slides. */
    private static final double RATIO_SHARE = 0.8;

    /** A restarted instance has forgotten what it spent: the slack must last for both lives. */
    private static final double SLACK_SHARE = 0.5;

    /** In force when a deployment names none. */
    public static final Limits DEFAULT = new Limits(0.1, 0, TimeUnit.SECONDS.toNanos(10));

    double allowed(int requests, int instances) {
      return RATIO_SHARE * ratio * requests + SLACK_SHARE * slack / Math.max(1, instances);
    }
  }

  /**
   * Creates an unused budget.
   *
   * @param rounding where this instance rounds its share up, drawn evenly from 0 to 1
   */
  public SharedRetryBudget(Limits limits, double rounding) {
    this.limits = limits;
    this.roundUpFrom = 1 - rounding;
    this.bucketNanos = Math.max(1, limits.windowNanos() / (BUCKETS - 1));
  }

  /** Counts a request of a caller. */
  public void recordRequest(long nowNanos) {
    requests[roll(nowNanos)]++;
  }

  /** Takes one further send if the budget has room for it. */
  public boolean trySpend(CallerRetry fallback, int instances, long nowNanos) {
    int bucket = roll(nowNanos);
    double all = limits.allowed(sum(requests), instances);
    double allowed =
        switch (fallback) {
          // One is free for anybody: a single rejection on a calm day must not cost a caller a try.
          case EXPECTED -> Math.max(RETURNING_SHARE * all, Math.min(1, all));
          case NONE -> all;
        };
    if (sum(retries) + roundUpFrom > allowed) {
      return false;
    }
    retries[bucket]++;
    return true;
  }

  private int roll(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    long passed = currentBucket == Long.MIN_VALUE ? BUCKETS : bucket - currentBucket;
    for (long i = 0; i < Math.min(BUCKETS, passed); i++) {
      int cleared = Math.floorMod(bucket - i, BUCKETS);
      requests[cleared] = 0;
      retries[cleared] = 0;
    }
    currentBucket = bucket;
    return Math.floorMod(bucket, BUCKETS);
  }

  private static int sum(int[] counts) {
    int total = 0;
    for (int count : counts) {
      total += count;
    }
    return total;
  }
}
