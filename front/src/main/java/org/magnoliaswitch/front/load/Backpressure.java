package org.magnoliaswitch.front.load;

import java.util.OptionalDouble;

/**
 * What one incarnation of a backend server asks of its callers, as far as its answers told this
 * instance; used by one thread only.
 */
public final class Backpressure {
  private boolean leaving;
  private OptionalDouble requestsPerSecond = OptionalDouble.empty();
  private long limitHeardNanos;
  private boolean checksNameLimits;

  /**
   * Takes the notice in the answer to a request.
   *
   * @param sentNanos when the request was sent
   */
  public void answered(ServerNotice notice, long sentNanos, long nowNanos) {
    takeLasting(notice);
    takeLimit(notice, sentNanos, nowNanos);
  }

  private void takeLasting(ServerNotice notice) {
    leaving |= notice.leaving();
  }

  private void takeLimit(ServerNotice notice, long sentNanos, long nowNanos) {
    if (notice.requestsPerSecond().isPresent()) {
      requestsPerSecond = notice.requestsPerSecond();
      limitHeardNanos = nowNanos;
    } else if (sentNanos - limitHeardNanos > 0) {
      // Answers overtake each other: only one to a later request shows that the limit has ended.
      requestsPerSecond = OptionalDouble.empty();
    }
  }

  /**
   * Takes the notice in the answer to a health check. Servers may leave limits out of these, so
   * that one without a limit says something only if others had one.
   *
   * @param sentNanos when the check was sent
   */
  public void checked(ServerNotice notice, long sentNanos, long nowNanos) {
    takeLasting(notice);
    checksNameLimits |= notice.requestsPerSecond().isPresent();
    if (checksNameLimits) {
      takeLimit(notice, sentNanos, nowNanos);
    }
  }

  /** Whether the server leaves; it never comes back from that, only its next incarnation does. */
  public boolean leaving() {
    return leaving;
  }

  /** Requests a second that the server takes from all instances together, if it limits them. */
  public OptionalDouble requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Time since the server last named its limit. */
  public long limitAgeNanos(long nowNanos) {
    return nowNanos - limitHeardNanos;
  }
}
