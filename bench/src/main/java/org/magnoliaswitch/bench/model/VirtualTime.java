package org.magnoliaswitch.bench.model;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** A clock and event queue for discrete-event simulation; time advances from event to event. */
final class VirtualTime {
  private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long order;

  long nanos() {
    return nowNanos;
  }

  double millis() {
    return nowNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }

  void after(long nanos, Runnable action) {
    events.add(new Event(nowNanos + Math.max(0, nanos), order++, action));
  }

  void afterMillis(double millis, Runnable action) {
    after(nanosOf(millis), action);
  }

  void everyMillis(double millis, Runnable action) {
    afterMillis(
        millis,
        () -> {
          action.run();
          everyMillis(millis, action);
        });
  }

  /** Runs all events that are due until the given time; later events are not run. */
  void runUntilMillis(double millis) {
    long end = nanosOf(millis);
    while (!events.isEmpty() && events.peek().atNanos() <= end) {
      Event event = events.remove();
      nowNanos = event.atNanos();
      event.action().run();
    }
  }

  static long nanosOf(double millis) {
    return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
  }
}
