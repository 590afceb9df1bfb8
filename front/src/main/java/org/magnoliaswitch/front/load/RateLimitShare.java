package org.magnoliaswitch.front.load;

import java.util.concurrent.TimeUnit;

/**
 * How much one instance may send to one server that limits the requests a second that it takes from
 * all instances together; pure.
 *
 * <p>Load pattern: an overloaded server names a rate far below what it gets, looks idle to all
 * instances, and none of them sees what the others send.
 *
 * <p>Each instance gets an even part of a span's requests; instances that are drawn for the server
 * share what is left of the division. In a span of a second most would have no part.
 *
 * @param maxPerWindow sends of this instance to the server in any span of {@link #WINDOW_NANOS}
 */
public record RateLimitShare(int maxPerWindow) {
  /** Span over which the limit is kept. */
  public static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Hashing puts more instances on one server than on others. */
  private static final double PART_MARGIN = 1.6;

  /**
   * The share of one instance.
   *
   * @param perSecond requests a second that the server takes from all instances
   * @param part share of the service's servers that each instance sends to
   */
  public static RateLimitShare of(double perSecond, SenderSelection selection, double part) {
    double planned = perSecond * WINDOW_NANOS / NANOS_PER_SECOND;
    double senders = Math.max(1, selection.candidates() * Math.min(1, PART_MARGIN * part));
    double even = planned / senders;
    int whole = (int) even;
    boolean oneMore = selection.selected((even - whole) * selection.candidates());
    return new RateLimitShare(whole + (oneMore ? 1 : 0));
  }
}
