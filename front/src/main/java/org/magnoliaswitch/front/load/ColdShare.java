package org.magnoliaswitch.front.load;

import org.magnoliaswitch.front.version.Warmup;

/**
 * How much one instance may send to one server that is cold; pure.
 *
 * <p>Load pattern: a data centre's servers come back empty in a burst. They look idle to all
 * instances at once, get many times what they bear, and end. The bound holds for every second over
 * all instances together, and these do not ask each other.
 *
 * <p>Where the bound allows each instance a request a second, each gets an even part of it. Where
 * it does not, few instances send to the server at all, one request a second each, and the others
 * pass it by. A bucket of a fraction of a request a second would not do: every instance starts with
 * the same right to a first request, and all use it at once.
 *
 * <p>Who sends is drawn for each server's incarnation ({@link SenderSelection}).
 *
 * @param maxPerSecond sends of this instance to the server in any second; 0 if it may not send
 */
public record ColdShare(int maxPerSecond) {
  /** Part of the slack that is planned with; the rest covers a wrong count of instances. */
  private static final double SLACK_SHARE = 0.5;

  /** No limit at all. */
  private static final ColdShare UNLIMITED = new ColdShare(Integer.MAX_VALUE);

  /**
   * What is tolerated beyond the rate that a service declares for its cold servers.
   *
   * @param excess multiple of the declared rate
   * @param slack requests a second besides
   */
  public record Bounds(double excess, double slack) {
    /** In force when a deployment names none: the declared rate. */
    public static final Bounds NONE = new Bounds(1, 0);

    /** Requests in any second that all instances together may plan with. */
    double plannedPerSecond(Warmup warmup) {
      return excess * warmup.requestsPerSecond() + SLACK_SHARE * slack;
    }
  }

  /** The share of one instance. */
  public static ColdShare of(Warmup warmup, Bounds bounds, SenderSelection selection) {
    if (!warmup.limited()) {
      return UNLIMITED;
    }
    double planned = bounds.plannedPerSecond(warmup);
    if (selection.candidates() <= planned) {
      return new ColdShare((int) (planned / selection.candidates()));
    }
    return new ColdShare(selection.selected(planned) ? 1 : 0);
  }
}
