package org.magnoliaswitch.front.version;

/**
 * How a service's servers bear requests while their caches are cold.
 *
 * @param spanNanos how long a server stays cold
 * @param perSecond requests a second that a cold server bears; far above it ends
 */
public record Warmup(long spanNanos, double perSecond) {
  /** Of a service that declares nothing: its servers bear any number. */
  public static final Warmup UNLIMITED = new Warmup(0, Double.POSITIVE_INFINITY);

  public Warmup {
    if (spanNanos < 0 || !(perSecond >= 0)) {
      throw new IllegalArgumentException("a warm-up of " + spanNanos + " ns, " + perSecond + "/s");
    }
  }

  /** Whether a cold server bears only so many requests. */
  public boolean limited() {
    return perSecond < Double.POSITIVE_INFINITY;
  }
}
