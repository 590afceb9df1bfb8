package org.magnoliaswitch.front.load;

/**
 * One seed's token bucket for one team. Not thread-safe.
 *
 * <p>Admitted requests are taken out when instances report them, so the number of tokens may become
 * negative; what is missing is refilled before anything else is allowed. A window may not contain
 * as much as a full bucket and the refill of the window together; the requests of the last window
 * are therefore counted, and tokens beyond what it may still contain are lost.
 */
final class QuotaBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private final SlidingSum taken;
  private Size size;
  private double tokens;
  private long refilledNanos;

  /**
   * How many tokens a bucket gives out.
   *
   * @param perSecond tokens that are added per second
   * @param capacity tokens that a full bucket holds
   * @param perWindow tokens that it gives out within any window
   * @param reserve requests by which a window may exceed that
   */
  record Size(double perSecond, double capacity, double perWindow, double reserve) {
    /** Returns the size of one of several buckets among which this one is divided. */
    Size part(double ofRate, double ofCapacity) {
      return new Size(
          ofRate * perSecond, ofCapacity * capacity, ofRate * perWindow, ofRate * reserve);
    }

    /**
     * Time for which the bucket of a seed that has just started is not refilled. A process that
     * ended just before may have used a full bucket beyond the refill; the reserve covers a part.
     */
    private long startNanos() {
      double missing = Math.max(0, capacity - reserve);
      return perSecond > 0 ? (long) (missing / perSecond * NANOS_PER_SECOND) : 0;
    }
  }

  /**
   * Creates a bucket.
   *
   * @param full whether it starts full; the bucket of a seed that has just started is empty
   */
  QuotaBucket(Size size, long windowNanos, boolean full, long nowNanos) {
    this.size = size;
    this.taken = new SlidingSum(windowNanos);
    this.tokens = full ? size.capacity() : 0;
    this.refilledNanos = full ? nowNanos : nowNanos + size.startNanos();
  }

  /** Sets another size; tokens beyond the new capacity are lost. */
  void configure(Size newSize, long nowNanos) {
    refill(nowNanos);
    size = newSize;
    refill(nowNanos);
  }

  /** Adds the tokens since the last refill. */
  void refill(long nowNanos) {
    double elapsed = Math.max(0, nowNanos - refilledNanos) / NANOS_PER_SECOND;
    refilledNanos = Math.max(refilledNanos, nowNanos);
    double inWindow = size.perWindow() - taken.largest(nowNanos);
    tokens = Math.min(tokens + size.perSecond() * elapsed, Math.min(size.capacity(), inWindow));
  }

  /** Takes tokens out; a negative number puts them back. */
  void take(double count, long nowNanos) {
    tokens -= count;
    taken.add(count, nowNanos);
  }

  /** Adds tokens that another bucket has given up, up to the capacity. */
  void add(double count, long nowNanos) {
    double added = Math.min(count, size.capacity() - tokens);
    if (added > 0) {
      take(-added, nowNanos);
    }
  }

  double tokens() {
    return tokens;
  }

  double capacity() {
    return size.capacity();
  }
}
