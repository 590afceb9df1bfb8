package org.magnoliaswitch.front.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Sends of the last second; used by one thread only.
 *
 * <p>Unlike a token bucket it saves nothing up: no second, wherever it begins, holds more than what
 * is allowed.
 */
final class SendWindow {
  private static final long SPAN_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Deque<Long> sends = new ArrayDeque<>(1);

  /** Counts a send. */
  void add(long nowNanos) {
    forget(nowNanos);
    sends.addLast(nowNanos);
  }

  /** Sends of the last second. */
  int size(long nowNanos) {
    forget(nowNanos);
    return sends.size();
  }

  private void forget(long nowNanos) {
    while (!sends.isEmpty() && nowNanos - sends.peekFirst() > SPAN_NANOS) {
      sends.removeFirst();
    }
  }
}
