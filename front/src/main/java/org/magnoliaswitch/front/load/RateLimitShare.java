package org.magnoliaswitch.front.load;

import java.util.concurrent.TimeUnit;

/**
 * The rate at which one instance may send requests to one server that limits the requests per
 * second from all instances together.
 *
 * <p>Load pattern: an overloaded server sets a limit far below the rate it receives, appears idle
 * to all instances, and none of them sees the requests of the others.
 *
 * <p>Each instance gets an equal share of the requests of a window; the remainder of the division
 * goes to instances that are selected for the server. With a window of one second, most instances
 * would get no share.
 *
 * @param maxPerWindow requests of this instance to the server in any window of {@link
 *     #WINDOW_NANOS}
 */
public record RateLimitShare(int maxPerWindow) {
  /** Window in which the limit is kept. */
  public static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Hashing assigns more instances to one server than to others. */
  private static final double SUBSET_MARGIN = 1.6;

  /**
   * Returns the share of one instance.
   *
   * @param perSecond requests per second that the server accepts from all instances
   * @param subsetShare share of the service's servers that each instance sends to
   */
  public static RateLimitShare of(double perSecond, SenderSelection selection, double subsetShare) {
    double allotted = perSecond * WINDOW_NANOS / NANOS_PER_SECOND;
    double senders = Math.max(1, selection.candidates() * Math.min(1, SUBSET_MARGIN * subsetShare));
    double evenShare = allotted / senders;
    int wholeRequests = (int) evenShare;
    boolean extraRequest = selection.selected((evenShare - wholeRequests) * selection.candidates());
    return new RateLimitShare(wholeRequests + (extraRequest ? 1 : 0));
  }
}
