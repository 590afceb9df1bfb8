package org.magnoliaswitch.front.load;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/**
 * Actions and messages in virtual time. Messages between two members keep their order, are held
 * back while the path between them is cut, and may be late.
 */
class VirtualNetwork<M extends VirtualNetwork.Member> {
  /** Receives messages. */
  interface Member {
    /** Runs an action, at once or when the member runs again. */
    void run(Runnable action);
  }

  final Random random;

  /** Time that every message takes on top of its usual delay. */
  long lateness;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final Map<Path<M>, Deque<Runnable>> held = new LinkedHashMap<>();
  private BiPredicate<M, M> cut = (from, to) -> false;
  private long now;
  private long scheduled;

  private record Event(long at, long order, Runnable action) {}

  private record Path<M>(M from, M to) {}

  VirtualNetwork(long seed) {
    this.random = new Random(seed);
  }

  static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  final long now() {
    return now;
  }

  final void after(long delay, Runnable action) {
    events.add(new Event(now + delay, scheduled++, action));
  }

  final void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event next = events.remove();
      now = next.at();
      next.action().run();
    }
    now = end;
  }

  /**
   * Sends a message.
   *
   * @param notBefore arrival of the message before on the same connection
   * @return the arrival of the message, unless the path is cut by then
   */
  final long transmit(M from, M to, long notBefore, Runnable delivery) {
    long arrival = Math.max(notBefore, now + lateness + millis(1) + random.nextLong(millis(4)));
    after(arrival - now, () -> arrive(from, to, delivery));
    return arrival;
  }

  private void arrive(M from, M to, Runnable delivery) {
    Deque<Runnable> before = held.computeIfAbsent(new Path<>(from, to), path -> new ArrayDeque<>());
    before.addLast(delivery);
    if (!cut.test(from, to)) {
      release(to, before);
    }
  }

  private static void release(Member to, Deque<Runnable> messages) {
    while (!messages.isEmpty()) {
      to.run(messages.removeFirst());
    }
  }

  /** Holds messages back while a condition on sender and receiver holds, for some time. */
  final void cut(BiPredicate<M, M> condition, long duration) {
    cut = condition;
    after(
        duration,
        () -> {
          cut = (from, to) -> false;
          held.forEach((path, messages) -> release(path.to(), messages));
        });
  }

  final boolean isCut(M from, M to) {
    return cut.test(from, to);
  }
}
