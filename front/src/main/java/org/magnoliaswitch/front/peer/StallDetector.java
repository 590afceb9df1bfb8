package org.magnoliaswitch.front.peer;

import java.util.concurrent.TimeUnit;

/** Distinguishes a listener that reads slowly from one that does not read. Not thread-safe. */
final class StallDetector {
  /** Without progress for this time, the link has failed or the listener has stopped reading. */
  private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(3);

  private long leastBytesBeforeWritable = Long.MAX_VALUE;
  private long progressNanos;

  /** Restarts the measurement; called while the channel is writable. */
  void reset() {
    leastBytesBeforeWritable = Long.MAX_VALUE;
  }

  /**
   * Whether the number of bytes to send before the channel is writable has not decreased for too
   * long.
   */
  boolean stalled(long bytesBeforeWritable, long nowNanos) {
    if (bytesBeforeWritable < leastBytesBeforeWritable) {
      leastBytesBeforeWritable = bytesBeforeWritable;
      progressNanos = nowNanos;
    }
    return nowNanos - progressNanos > STALLED_NANOS;
  }
}
