package org.magnoliaswitch.bench.model;

import java.util.concurrent.TimeUnit;

/** The request of one caller, across all its attempts. */
final class ModelRequest {
  private final Kind kind;
  private final int group;
  private final long startNanos;
  private final double workMillis;
  private final long timeoutNanos;
  private final boolean abuser;
  private int retriesLeft;
  private boolean retried;
  private boolean ended;

  ModelRequest(
      Kind kind,
      int group,
      long startNanos,
      double workMillis,
      long timeoutNanos,
      int retriesLeft,
      boolean abuser) {
    this.kind = kind;
    this.group = group;
    this.startNanos = startNanos;
    this.workMillis = workMillis;
    this.timeoutNanos = timeoutNanos;
    this.retriesLeft = retriesLeft;
    this.abuser = abuser;
  }

  Kind kind() {
    return kind;
  }

  /** The group of callers that the request comes from. */
  int group() {
    return group;
  }

  double workMillis() {
    return workMillis;
  }

  boolean abuser() {
    return abuser;
  }

  double startMillis() {
    return startNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }

  long deadlineNanos() {
    return startNanos + timeoutNanos;
  }

  long timeoutNanos() {
    return timeoutNanos;
  }

  long objectiveEndNanos() {
    return startNanos + kind.route().objectiveNanos();
  }

  /**
   * Whether the request has not been retried yet; instances recognize a retry by the connection on
   * which it arrives.
   */
  boolean firstAttempt() {
    return !retried;
  }

  /** Uses one of the retries; returns false if none is left. */
  boolean takeRetry() {
    if (retriesLeft == 0) {
      return false;
    }
    retriesLeft--;
    retried = true;
    return true;
  }

  boolean ended() {
    return ended;
  }

  void end() {
    ended = true;
  }
}
