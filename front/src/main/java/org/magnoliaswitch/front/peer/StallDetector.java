package org.magnoliaswitch.front.peer;

import java.util.concurrent.TimeUnit;

/** Distinguishes a listener that reads slowly from one that does not read. Not thread-safe. */
final class StallDetector {
  /** Without progress for this time, the link has failed or the listener has stopped reading. */
  private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(3);

  private long leastUnsentBytes = Long.MAX_VALUE;
  private long progressNanos;

  /** Starts afresh after all pending bytes have been sent. */
  void reset() {
    leastUnsentBytes = Long.MAX_VALUE;
  }

  /** Whether the number of unsent bytes has not decreased for too long. */
  boolean stalled(long unsentBytes, long nowNanos) {
    if (unsentBytes < leastUnsentBytes) {
      leastUnsentBytes = unsentBytes;
      progressNanos = nowNanos;
    }
    return nowNanos - progressNanos > STALLED_NANOS;
  }
}
