package org.magnoliaswitch.core.process;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Load that a backend server reports about itself.
 *
 * <p>It is read from the {@code endpoint-load-metrics} header in its TEXT form, as the Open Request
 * Cost Aggregation format (ORCA) defines it: comma-separated {@code key=value} pairs.
 *
 * @param requests active and queued requests
 * @param slots requests that it executes concurrently
 * @param draining whether it is about to stop
 */
public record LoadReport(int requests, int slots, boolean draining) {
  /** Header that carries the report on every response. */
  public static final String HEADER = "endpoint-load-metrics";

  private static final String PREFIX = "TEXT ";
  private static final String REQUESTS = "named_metrics.requests";
  private static final String SLOTS = "named_metrics.slots";
  private static final String DRAINING = "named_metrics.draining";

  /** Parses a header value; returns empty if it is malformed, since reports are only advisory. */
  public static Optional<LoadReport> parse(String header) {
    if (!header.startsWith(PREFIX)) {
      return Optional.empty();
    }
    Map<String, Double> values = new TreeMap<>();
    try {
      for (String pair : header.substring(PREFIX.length()).split(",", -1)) {
        int equals = pair.indexOf('=');
        if (equals > 0) {
          values.put(pair.substring(0, equals).strip(), Double.valueOf(pair.substring(equals + 1)));
        }
      }
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
    if (!values.containsKey(REQUESTS)) {
      return Optional.empty();
    }
    return Optional.of(
        new LoadReport(
            Math.max(0, values.get(REQUESTS).intValue()),
            Math.max(1, values.getOrDefault(SLOTS, 1.0).intValue()),
            values.getOrDefault(DRAINING, 0.0) > 0));
  }

  /** Returns the header value of this report. */
  public String format() {
    return PREFIX
        + REQUESTS
        + '='
        + requests
        + ','
        + SLOTS
        + '='
        + slots
        + (draining ? "," + DRAINING + "=1" : "");
  }
}
