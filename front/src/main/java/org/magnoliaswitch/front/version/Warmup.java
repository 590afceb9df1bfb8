package org.magnoliaswitch.front.version;

/**
 * Limits of a service's servers while their caches are cold.
 *
 * @param durationNanos how long a server stays cold
 * @param requestsPerSecond requests per second that a cold server can handle; it crashes under a
 *     far higher rate
 */
public record Warmup(long durationNanos, double requestsPerSecond) {
  /** Limits of a service that declares none: its cold servers can handle any rate. */
  public static final Warmup UNLIMITED = new Warmup(0, Double.POSITIVE_INFINITY);

  public Warmup {
    if (durationNanos < 0 || !(requestsPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "duration and rate of a warm-up must be at least 0: "
              + durationNanos
              + " ns, "
              + requestsPerSecond
              + "/s");
    }
  }

  /** Whether the rate of requests to a cold server is limited. */
  public boolean limited() {
    return requestsPerSecond < Double.POSITIVE_INFINITY;
  }
}
