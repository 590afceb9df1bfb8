package org.magnoliaswitch.front.load;

import java.util.concurrent.TimeUnit;

/**
 * This instance's share of a service's budget for further attempts.
 *
 * <p>Over all instances together, attempts beyond the first of each request must stay below a ratio
 * of the requests plus a slack in any window. Each instance applies the ratio to its own requests
 * in the last window and takes an equal share of the slack, so uneven traffic cannot exceed the
 * sum.
 *
 * <p>A share is rarely an integer. If all instances rounded down, much of the budget of a large
 * deployment would be lost; instead each instance rounds at its own threshold, so that the sum over
 * many instances matches the allowed number.
 */
public final class SharedRetryBudget {
  private static final int BUCKETS = 20;

  /**
   * Part of the budget available to callers that could retry by themselves. The rest suffices for
   * those that cannot while every second request is rejected.
   */
  private static final double RETRYING_CALLER_SHARE = 0.4;

  private final Limits limits;
  private final double roundUpFrom;
  private final long bucketNanos;
  private final int[] requests = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];
  private long currentBucket = Long.MIN_VALUE;

  /**
   * The limits that the sum over all instances must keep.
   *
   * @param ratio further attempts per request
   * @param slack further attempts allowed on top of it, over all instances
   * @param windowNanos the window in which both are counted
   */
  public record Limits(double ratio, double slack, long windowNanos) {
    /** Safety margin below the ratio for requests in flight while the window slides. */
    private static final double RATIO_SHARE = 0.8;

    /**
     * A restarted instance does not remember its spending: within one window, the slack must
     * suffice for its attempts before and after the restart.
     */
    private static final double SLACK_SHARE = 0.5;

    /** Limits for training runs and tests; a deployment takes its limits from the settings. */
    public static final Limits DEFAULT = new Limits(0.1, 0, TimeUnit.SECONDS.toNanos(10));

    double allowed(int requests, int instances) {
      return RATIO_SHARE * ratio * requests + SLACK_SHARE * slack / Math.max(1, instances);
    }
  }

  /**
   * Creates an unused budget.
   *
   * @param rounding added to the budget before it is rounded down, so that this instance rounds up
   *     from a fraction of {@code 1 - rounding}; uniformly distributed from 0 to 1
   */
  public SharedRetryBudget(Limits limits, double rounding) {
    this.limits = limits;
    this.roundUpFrom = 1 - rounding;
    this.bucketNanos = Math.max(1, limits.windowNanos() / (BUCKETS - 1));
  }

  /** Counts a request of a caller. */
  public void recordRequest(long nowNanos) {
    requests[advance(nowNanos)]++;
  }

  /** Takes one further attempt from the budget if it is not exhausted. */
  public boolean trySpend(CallerRetry callerRetry, int instances, long nowNanos) {
    int bucket = advance(nowNanos);
    double fullBudget = limits.allowed(sum(requests), instances);
    double allowed =
        switch (callerRetry) {
          // The first further attempt in a window is available to these callers too if the full
          // budget allows it: a single rejection under normal load must not cost a caller an
          // attempt.
          case EXPECTED -> Math.max(RETRYING_CALLER_SHARE * fullBudget, Math.min(1, fullBudget));
          case NONE -> fullBudget;
        };
    if (sum(retries) + roundUpFrom > allowed) {
      return false;
    }
    retries[bucket]++;
    return true;
  }

  private int advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    long elapsed = currentBucket == Long.MIN_VALUE ? BUCKETS : bucket - currentBucket;
    for (long i = 0; i < Math.min(BUCKETS, elapsed); i++) {
      int index = Math.floorMod(bucket - i, BUCKETS);
      requests[index] = 0;
      retries[index] = 0;
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
