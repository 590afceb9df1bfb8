package org.magnoliaswitch.front.load;

import java.util.OptionalDouble;

/**
 * Backpressure that a backend server signals in one answer.
 *
 * @param leaving whether the server is leaving and accepts no new work
 * @param requestsPerSecond requests per second that it accepts from all instances together; empty
 *     if it sets no limit
 * @param pauseNanos time for which this instance must not send it requests; 0 for no pause
 */
public record ServerNotice(boolean leaving, OptionalDouble requestsPerSecond, long pauseNanos) {
  /** Notice without any backpressure. */
  public static final ServerNotice NONE = new ServerNotice(false, OptionalDouble.empty(), 0);

  /** Rejects a negative pause or limit with an {@link IllegalArgumentException}. */
  public ServerNotice {
    if (pauseNanos < 0 || requestsPerSecond.orElse(0) < 0) {
      throw new IllegalArgumentException(
          "pause and limit must not be negative: pauseNanos "
              + pauseNanos
              + ", requestsPerSecond "
              + requestsPerSecond);
    }
  }
}
