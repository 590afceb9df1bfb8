package org.magnoliaswitch.front.load;

import org.magnoliaswitch.front.version.Warmup;

/**
 * The rate at which one instance may send requests to one cold server.
 *
 * <p>Load pattern: the servers of a data centre restart empty during a burst. They appear idle to
 * all instances at once, receive a multiple of the load they can sustain, and crash. The limit
 * holds for every second over all instances together, and the instances do not coordinate.
 *
 * <p>Where the limit allows each instance at least one request per second, each gets an equal
 * share. Otherwise few instances send to the server, one request per second each, and the others
 * skip it. A token bucket that refills at a fraction of a request per second would not work: every
 * instance starts with one token, and all of them spend it at the same time.
 *
 * <p>The senders are selected per incarnation of the server ({@link SenderSelection}).
 *
 * @param maxPerSecond requests of this instance to the server in any second; 0 if it may not send
 */
public record ColdShare(int maxPerSecond) {
  /** Part of the slack that is allotted; the rest covers a wrong count of instances. */
  private static final double ALLOTTED_SLACK_SHARE = 0.5;

  /** Share for servers without a limit. */
  private static final ColdShare UNLIMITED = new ColdShare(Integer.MAX_VALUE);

  /**
   * Tolerance beyond the rate that a service declares for its cold servers.
   *
   * @param excess multiple of the declared rate
   * @param slack requests per second on top of it
   */
  public record Bounds(double excess, double slack) {
    /** Used when a deployment configures no bounds: the declared rate itself. */
    public static final Bounds NONE = new Bounds(1, 0);

    /** Requests in any second that are allotted to all instances together. */
    double allottedPerSecond(Warmup warmup) {
      return excess * warmup.requestsPerSecond() + ALLOTTED_SLACK_SHARE * slack;
    }
  }

  /** Returns the share of one instance. */
  public static ColdShare of(Warmup warmup, Bounds bounds, SenderSelection selection) {
    if (!warmup.limited()) {
      return UNLIMITED;
    }
    double allotted = bounds.allottedPerSecond(warmup);
    if (selection.candidates() <= allotted) {
      return new ColdShare((int) (allotted / selection.candidates()));
    }
    return new ColdShare(selection.selected(allotted) ? 1 : 0);
  }
}
