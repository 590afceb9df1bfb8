package org.magnoliaswitch.front.version;

/**
 * How a service's servers bear requests while their caches are cold.
 *
 * @param durationNanos how long a server stays cold
 * @param requestsPerSecond requests a second that a cold server bears; far above it ends
 */
public record Warmup(long durationNanos, double requestsPerSecond) {
  /** Of a service that declares nothing: its servers bear any number. */
  public static final Warmup UNLIMITED = new Warmup(0, Double.POSITIVE_INFINITY);

  public Warmup {
    if (durationNanos < 0 || !(requestsPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "a warm-up of " + durationNanos + " ns, " + requestsPerSecond + "/s");
    }
  }

  /** Whether a cold server bears only so many requests. */
  public boolean limited() {
    return requestsPerSecond < Double.POSITIVE_INFINITY;
  }
}
