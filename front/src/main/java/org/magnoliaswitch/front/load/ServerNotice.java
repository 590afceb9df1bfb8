package org.magnoliaswitch.front.load;

import java.util.OptionalDouble;

/**
 * What a backend server asks of its callers in one answer.
 *
 * @param leaving whether it leaves and takes no new work
 * @param requestsPerSecond requests a second that it takes from all instances together, if it
 *     limits them
 * @param pauseNanos time for which this instance is to send it nothing; 0 if it asks for no pause
 */
public record ServerNotice(boolean leaving, OptionalDouble requestsPerSecond, long pauseNanos) {
  /** Asks for nothing. */
  public static final ServerNotice NONE = new ServerNotice(false, OptionalDouble.empty(), 0);

  /** Refuses what no server can mean; {@link IllegalArgumentException}. */
  public ServerNotice {
    if (pauseNanos < 0 || requestsPerSecond.orElse(0) < 0) {
      throw new IllegalArgumentException(
          "a pause of " + pauseNanos + " ns, a limit of " + requestsPerSecond);
    }
  }
}
