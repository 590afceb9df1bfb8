package org.magnoliaswitch.front.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Recent sends; used by one thread only.
 *
 * <p>Unlike a token bucket it saves nothing up: no span, wherever it begins, holds more than what
 * is allowed.
 */
final class SendWindow {
  private final long keptNanos;
  private final Deque<Long> sends = new ArrayDeque<>(1);

  /**
   * Creates an empty one.
   *
   * @param keptNanos longest span that is asked for
   */
  SendWindow(long keptNanos) {
    this.keptNanos = keptNanos;
  }

  /** Counts a send. */
  void add(long nowNanos) {
    forget(nowNanos);
    sends.addLast(nowNanos);
  }

  /** Sends of the last span. */
  int size(long spanNanos, long nowNanos) {
    forget(nowNanos);
    int size = 0;
    Iterator<Long> latestFirst = sends.descendingIterator();
    while (latestFirst.hasNext() && nowNanos - latestFirst.next() <= spanNanos) {
      size++;
    }
    return size;
  }

  /**
   * Time until the last span holds fewer sends than a number of them, if none is added; 0 if it
   * does now.
   *
   * @param most at least one
   */
  long untilFewerThan(int most, long spanNanos, long nowNanos) {
    forget(nowNanos);
    Iterator<Long> latestFirst = sends.descendingIterator();
    for (int i = 1; latestFirst.hasNext(); i++) {
      long sent = latestFirst.next();
      if (i == most) {
        return Math.max(0, sent + spanNanos + 1 - nowNanos);
      }
    }
    return 0;
  }

  private void forget(long nowNanos) {
    while (!sends.isEmpty() && nowNanos - sends.peekFirst() > keptNanos) {
      sends.removeFirst();
    }
  }
}
