package org.magnoliaswitch.front.version;

/**
 * Limit on the requests of a team over all instances together.
 *
 * @param requestsPerSecond sustained rate; 0 for no limit
 * @param burst requests on top of the rate in any span of time
 */
public record Quota(double requestsPerSecond, double burst) {
  /** Limits nothing. */
  public static final Quota UNLIMITED = new Quota(0, 0);

  /** Checks the figures, which come from the configuration. */
  public Quota {
    if (!(requestsPerSecond >= 0 && requestsPerSecond < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException(
          "the rate " + requestsPerSecond + " is negative or infinite");
    }
    if (!(burst >= 0 && burst < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException("the burst " + burst + " is negative or infinite");
    }
    if (burst > 0 && requestsPerSecond == 0) {
      throw new IllegalArgumentException("there is a burst without a rate");
    }
  }

  /** Whether there is a limit at all. */
  public boolean limited() {
    return requestsPerSecond > 0;
  }
}
