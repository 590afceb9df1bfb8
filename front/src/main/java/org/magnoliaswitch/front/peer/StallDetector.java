package org.magnoliaswitch.front.peer;

import java.util.concurrent.TimeUnit;

/** Tells a listener that reads slowly from one that does not read; used by one thread. */
final class StallDetector {
  /** A link that moves nothing for so long has failed, or the listener stands still. */
  private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(3);

  private long leastUnsentBytes = Long.MAX_VALUE;
  private long progressNanos;

  /** Notes that everything has left. */
  void reset() {
    leastUnsentBytes = Long.MAX_VALUE;
  }

  /** Whether none of the bytes that have not left moved for too long. */
  boolean stalled(long unsentBytes, long nowNanos) {
    if (unsentBytes < leastUnsentBytes) {
      leastUnsentBytes = unsentBytes;
      progressNanos = nowNanos;
    }
    return nowNanos - progressNanos > STALLED_NANOS;
  }
}
