package org.magnoliaswitch.front.load;

import java.util.OptionalDouble;

/**
 * The backpressure that one incarnation of a backend server has signalled to this instance in its
 * answers. Not thread-safe.
 */
public final class Backpressure {
  private boolean leaving;
  private boolean paused;
  private long pausedUntilNanos;
  private OptionalDouble requestsPerSecond = OptionalDouble.empty();
  private long limitReceivedNanos;

  /**
   * Applies the notice in the answer to a request that the server has executed.
   *
   * @param sentNanos when the request was sent
   */
  public void recordAnswer(ServerNotice notice, long sentNanos, long nowNanos) {
    recordNotice(notice, nowNanos);
    // Answers may arrive out of order: only the answer to a request that was sent after the limit
    // was received proves that the limit is lifted.
    if (notice.requestsPerSecond().isEmpty() && sentNanos - limitReceivedNanos > 0) {
      requestsPerSecond = OptionalDouble.empty();
    }
  }

  /**
   * Applies the notice in the answer to a health check or to a rejected request. It does not lift a
   * limit, because a server may leave the limit out of such answers.
   */
  public void recordNotice(ServerNotice notice, long nowNanos) {
    leaving |= notice.leaving();
    extendPause(notice, nowNanos);
    if (notice.requestsPerSecond().isPresent()) {
      requestsPerSecond = notice.requestsPerSecond();
      limitReceivedNanos = nowNanos;
    }
  }

  /**
   * Keeps the pause that ends last, because a later notice may state less than the time that
   * remains.
   */
  private void extendPause(ServerNotice notice, long nowNanos) {
    if (notice.pauseNanos() > remainingPauseNanos(nowNanos)) {
      paused = true;
      pausedUntilNanos = nowNanos + notice.pauseNanos();
    }
  }

  /**
   * Whether the server is leaving. The state is final for an incarnation; only the next incarnation
   * accepts work again.
   */
  public boolean leaving() {
    return leaving;
  }

  /**
   * Remaining time of the pause that the server requested from this instance; 0 once it has passed.
   */
  public long remainingPauseNanos(long nowNanos) {
    paused &= pausedUntilNanos - nowNanos > 0;
    return paused ? pausedUntilNanos - nowNanos : 0;
  }

  /**
   * Requests per second that the server accepts from all instances together; empty if it has no
   * limit.
   */
  public OptionalDouble requestsPerSecond() {
    return requestsPerSecond;
  }

  /**
   * Whether the server may be probed for its load. A health check is a request too, and would
   * double the traffic of a server that asked for less.
   */
  public boolean allowsProbes(long nowNanos) {
    return requestsPerSecond.isEmpty() && remainingPauseNanos(nowNanos) == 0;
  }

  /** Time since the server last sent its limit. */
  public long limitAgeNanos(long nowNanos) {
    return nowNanos - limitReceivedNanos;
  }
}
