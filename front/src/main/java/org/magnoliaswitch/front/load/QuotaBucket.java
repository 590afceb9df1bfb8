package org.magnoliaswitch.front.load;

/**
 * One seed's token bucket for one team. Not thread-safe.
 *
 * <p>Admitted requests are taken out when instances report them, so the number of tokens may become
 * negative; what is missing is refilled before anything else is allowed.
 */
final class QuotaBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double perSecond;
  private double capacity;
  private double tokens;
  private long refilledNanos;

  /**
   * Creates a bucket.
   *
   * @param perSecond tokens that are added per second
   * @param full whether it starts full. The bucket of a seed that has just started is empty: the
   *     burst may have been used before the start
   */
  QuotaBucket(double perSecond, double capacity, boolean full, long nowNanos) {
    this.perSecond = perSecond;
    this.capacity = capacity;
    this.tokens = full ? capacity : 0;
    this.refilledNanos = nowNanos;
  }

  /** Sets another rate and capacity; tokens beyond the new capacity are lost. */
  void configure(double newPerSecond, double newCapacity, long nowNanos) {
    refill(nowNanos);
    perSecond = newPerSecond;
    capacity = newCapacity;
    tokens = Math.min(tokens, capacity);
  }

  /** Adds the tokens since the last refill. */
  void refill(long nowNanos) {
    double elapsed = Math.max(0, nowNanos - refilledNanos) / NANOS_PER_SECOND;
    refilledNanos = nowNanos;
    add(perSecond * elapsed);
  }

  /** Adds tokens up to the capacity; a negative number takes them out. */
  void add(double count) {
    tokens = Math.min(capacity, tokens + count);
  }

  double tokens() {
    return tokens;
  }

  double capacity() {
    return capacity;
  }
}
