package org.magnoliaswitch.front.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Sliding window over the times of recent requests to a server. Not thread-safe.
 *
 * <p>Unlike a token bucket, it accumulates no unused capacity: no window, wherever it begins,
 * contains more requests than allowed.
 */
final class SendWindow {
  private final long retentionNanos;
  private final Deque<Long> sendTimes = new ArrayDeque<>(1);

  /**
   * Creates an empty window that keeps the time of a request for the retention time.
   *
   * @param retentionNanos longest span that can be queried
   */
  SendWindow(long retentionNanos) {
    this.retentionNanos = retentionNanos;
  }

  void add(long nowNanos) {
    removeExpired(nowNanos);
    sendTimes.addLast(nowNanos);
  }

  /** Number of requests in the last span. */
  int count(long spanNanos, long nowNanos) {
    removeExpired(nowNanos);
    int count = 0;
    Iterator<Long> newestFirst = sendTimes.descendingIterator();
    while (newestFirst.hasNext() && nowNanos - newestFirst.next() <= spanNanos) {
      count++;
    }
    return count;
  }

  /**
   * Time until the last span contains fewer than {@code limit} requests if none is added; 0 if it
   * already does.
   *
   * @param limit at least 1
   */
  long nanosUntilFewerThan(int limit, long spanNanos, long nowNanos) {
    removeExpired(nowNanos);
    Iterator<Long> newestFirst = sendTimes.descendingIterator();
    for (int i = 1; newestFirst.hasNext(); i++) {
      long sent = newestFirst.next();
      if (i == limit) {
        return Math.max(0, sent + spanNanos + 1 - nowNanos);
      }
    }
    return 0;
  }

  private void removeExpired(long nowNanos) {
    while (!sendTimes.isEmpty() && nowNanos - sendTimes.peekFirst() > retentionNanos) {
      sendTimes.removeFirst();
    }
  }
}
