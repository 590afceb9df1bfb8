package org.magnoliaswitch.front.load;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Requests that wait for room at a service's servers; used by one thread only.
 *
 * <p>Those that can still be in time go before late ones, then the most urgent, and of equals the
 * one whose objective ends first. None waits long: one that cannot be placed soon is refused while
 * its caller still has time to come back.
 *
 * @param <T> a waiting request
 */
public final class PendingQueue<T extends PendingQueue.Entry> {
  /** What decides a request's place; must not change while it waits. */
  public interface Entry {
    /** Whether the request could still be in time when it began to wait. */
    Timeliness queuedTimeliness();

    /** Rank of the route among others; 0 is the most urgent. */
    int priority();

    /** When an answer loses most of its value. */
    long objectiveEndNanos();
  }

  private final Comparator<T> order;
  private final Map<String, PriorityQueue<T>> byService = new HashMap<>();

  public PendingQueue(Mechanisms mechanisms) {
    this.order = mechanisms.enabled(Mechanism.LINE_ORDER) ? byTimeliness() : byAge();
  }

  private static <T extends Entry> Comparator<T> byTimeliness() {
    return Comparator.<T, Timeliness>comparing(Entry::queuedTimeliness)
        .thenComparingInt(Entry::priority)
        .thenComparingLong(Entry::objectiveEndNanos);
  }

  private static <T extends Entry> Comparator<T> byAge() {
    return Comparator.comparingLong(Entry::objectiveEndNanos);
  }

  /** Adds a request. */
  public void add(String service, T request) {
    byService.computeIfAbsent(service, name -> new PriorityQueue<>(order)).add(request);
  }

  /** Takes a request out, if it is there. */
  public void remove(String service, T request) {
    PriorityQueue<T> line = byService.get(service);
    if (line != null) {
      line.remove(request);
    }
  }

  /** Requests that wait for a service. */
  public int size(String service) {
    PriorityQueue<T> line = byService.get(service);
    return line == null ? 0 : line.size();
  }

  /** The request that goes next. */
  public Optional<T> peek(String service) {
    PriorityQueue<T> line = byService.get(service);
    return line == null ? Optional.empty() : Optional.ofNullable(line.peek());
  }
}
