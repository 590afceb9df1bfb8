package org.magnoliaswitch.front.load;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sum of what was added within a window of time that ends now. Additions within a hundredth of the
 * window are kept as one, until the latest of them has left the window. Not thread-safe.
 */
final class SlidingSum {
  private static final int SLOTS = 100;

  private final long windowNanos;
  private final Deque<Slot> slots = new ArrayDeque<>();

  private static final class Slot {
    private final long endNanos;
    private double sum;

    Slot(long endNanos) {
      this.endNanos = endNanos;
    }
  }

  SlidingSum(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  void add(double value, long nowNanos) {
    if (slots.isEmpty() || slots.getLast().endNanos <= nowNanos) {
      slots.addLast(new Slot(nowNanos + windowNanos / SLOTS));
    }
    slots.getLast().sum += value;
  }

  /** Returns the largest sum of any span that ends now and is at most as long as the window. */
  double largest(long nowNanos) {
    while (!slots.isEmpty() && nowNanos - slots.getFirst().endNanos > windowNanos) {
      slots.removeFirst();
    }
    double largest = 0;
    double sum = 0;
    for (var newestFirst = slots.descendingIterator(); newestFirst.hasNext(); ) {
      sum += newestFirst.next().sum;
      largest = Math.max(largest, sum);
    }
    return largest;
  }
}
