package org.magnoliaswitch.front.load;

import java.util.OptionalDouble;

/**
 * What one incarnation of a backend server asks of its callers, as far as its answers told this
 * instance; used by one thread only.
 */
public final class Backpressure {
  private boolean leaving;
  private boolean paused;
  private long pausedUntilNanos;
  private OptionalDouble requestsPerSecond = OptionalDouble.empty();
  private long limitReceivedNanos;

  /**
   * Takes the notice in the answer to a request that the server has run.
   *
   * @param sentNanos when the request was sent
   */
  public void recordAnswer(ServerNotice notice, long sentNanos, long nowNanos) {
    recordNotice(notice, nowNanos);
    // Answers overtake each other: only one to a later request shows that the limit has ended.
    if (notice.requestsPerSecond().isEmpty() && sentNanos - limitReceivedNanos > 0) {
      requestsPerSecond = OptionalDouble.empty();
    }
  }

  /**
   * Takes the notice in the answer to a health check or to a request that was turned away. It does
   * not lift a limit: a server may leave the limit out of such answers.
   */
  public void recordNotice(ServerNotice notice, long nowNanos) {
    leaving |= notice.leaving();
    extendPause(notice, nowNanos);
    if (notice.requestsPerSecond().isPresent()) {
      requestsPerSecond = notice.requestsPerSecond();
      limitReceivedNanos = nowNanos;
    }
  }

  /** The longest pause counts: a server that is asked once more may name less than what is left. */
  private void extendPause(ServerNotice notice, long nowNanos) {
    if (notice.pauseNanos() > remainingPauseNanos(nowNanos)) {
      paused = true;
      pausedUntilNanos = nowNanos + notice.pauseNanos();
    }
  }

  /** Whether the server leaves; it never comes back from that, only its next incarnation does. */
  public boolean leaving() {
    return leaving;
  }

  /** Time left of the pause that the server asked this instance for; 0 once it has passed. */
  public long remainingPauseNanos(long nowNanos) {
    paused &= pausedUntilNanos - nowNanos > 0;
    return paused ? pausedUntilNanos - nowNanos : 0;
  }

  /** Requests a second that the server takes from all instances together, if it limits them. */
  public OptionalDouble requestsPerSecond() {
    return requestsPerSecond;
  }

  /**
   * Whether the server may be asked for its load. A health check is a request, too, and would
   * double what a server gets that asked for less.
   */
  public boolean allowsProbes(long nowNanos) {
    return requestsPerSecond.isEmpty() && remainingPauseNanos(nowNanos) == 0;
  }

  /** Time since the server last named its limit. */
  public long limitAgeNanos(long nowNanos) {
    return nowNanos - limitReceivedNanos;
  }
}
