package org.magnoliaswitch.front.load;

import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of an operation but allows bursts: each operation takes a token, and unused
 * tokens accumulate up to the capacity of the bucket. Not thread-safe.
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final double burst;
  private double tokens;
  private long lastNanos;

  /**
   * Creates a full bucket.
   *
   * @param burst capacity in tokens
   */
  public TokenBucket(double burst, long nowNanos) {
    this.burst = burst;
    this.tokens = burst;
    this.lastNanos = nowNanos;
  }

  /**
   * Takes a token if one is available.
   *
   * @param perSecond refill rate in tokens per second
   */
  public boolean tryTake(double perSecond, long nowNanos) {
    if (!hasToken(perSecond, nowNanos)) {
      return false;
    }
    tokens--;
    return true;
  }

  /**
   * Whether a token is available.
   *
   * @param perSecond refill rate in tokens per second
   */
  public boolean hasToken(double perSecond, long nowNanos) {
    double refilled = perSecond * (nowNanos - lastNanos) / NANOS_PER_SECOND;
    tokens = Math.min(burst, tokens + refilled);
    lastNanos = nowNanos;
    return tokens >= 1;
  }
}
