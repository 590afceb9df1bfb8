package org.magnoliaswitch.front.load;

import java.util.Optional;

/**
 * The load that a backend server reports at one moment.
 *
 * @param running requests in execution
 * @param waiting requests in its queue
 * @param slots requests that it can execute concurrently
 * @param slowness factor by which work currently takes longer on its machine; 1 is normal
 */
public record LoadSample(int running, int waiting, int slots, double slowness) {
  private static final int MIN_FIELDS = 3;
  private static final double PERCENT = 100.0;

  /**
   * Parses {@code running,waiting,slots[,slowness in percent]}; returns empty for malformed text.
   */
  public static Optional<LoadSample> parse(String text) {
    String[] fields = text.split(",", -1);
    if (fields.length < MIN_FIELDS) {
      return Optional.empty();
    }
    try {
      double slowness =
          fields.length > MIN_FIELDS ? Double.parseDouble(fields[3].strip()) / PERCENT : 1.0;
      return Optional.of(
          new LoadSample(
              Math.max(0, Integer.parseInt(fields[0].strip())),
              Math.max(0, Integer.parseInt(fields[1].strip())),
              Math.max(1, Integer.parseInt(fields[2].strip())),
              slowness > 0 && slowness < Double.POSITIVE_INFINITY ? slowness : 1.0));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** The load after one of the requests counted in this sample has left the server. */
  public LoadSample withoutOneRequest() {
    return waiting > 0
        ? new LoadSample(running, waiting - 1, slots, slowness)
        : new LoadSample(Math.max(0, running - 1), 0, slots, slowness);
  }

  /** Requests that are outstanding at the server, running or waiting. */
  public int outstanding() {
    return running + waiting;
  }
}
