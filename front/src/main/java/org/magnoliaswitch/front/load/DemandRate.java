package org.magnoliaswitch.front.load;

/**
 * Moving average of the events per second, with exponentially decaying weights. Not thread-safe.
 */
final class DemandRate {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double spanSeconds;
  private double perSecond;
  private long updatedNanos;

  /**
   * Creates a rate of zero.
   *
   * @param spanSeconds time constant of the decay
   */
  DemandRate(double spanSeconds, long nowNanos) {
    this.spanSeconds = spanSeconds;
    this.updatedNanos = nowNanos;
  }

  /** Records events that happened just now. */
  void add(double events, long nowNanos) {
    perSecond = perSecond(nowNanos) + events / spanSeconds;
    updatedNanos = nowNanos;
  }

  /** Returns the current rate. */
  double perSecond(long nowNanos) {
    double elapsed = Math.max(0, nowNanos - updatedNanos) / NANOS_PER_SECOND;
    return perSecond * Math.exp(-elapsed / spanSeconds);
  }
}
