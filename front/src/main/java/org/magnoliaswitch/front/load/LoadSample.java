package org.magnoliaswitch.front.load;

import java.util.Optional;

/**
 * What a backend server says of its load at one moment.
 *
 * @param running requests it executes
 * @param waiting requests in its queue
 * @param slots requests it executes at once
 * @param slowness how long work takes on its machine at this moment; 1 is usual
 */
public record LoadSample(int running, int waiting, int slots, double slowness) {
  private static final int MIN_FIELDS = 3;
  private static final double PERCENT = 100.0;

  /** Parses {@code running,waiting,slots[,slowness in percent]}; malformed text gives nothing. */
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

  /** The load once one request that this sample counts has left. */
  public LoadSample withoutOneRequest() {
    return waiting > 0
        ? new LoadSample(running, waiting - 1, slots, slowness)
        : new LoadSample(Math.max(0, running - 1), 0, slots, slowness);
  }

  /** Requests that the server holds. */
  public int outstanding() {
    return running + waiting;
  }
}
