package org.magnoliaswitch.front.load;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Requests that wait for capacity at the servers of a service. Not thread-safe.
 *
 * <p>Timely requests go before late ones, then requests of the most urgent teams and routes, then
 * those of teams that do not ask for more than their rate, and among equals the one whose objective
 * ends first. No request waits long: one that cannot be placed soon is refused while its caller
 * still has time to retry.
 *
 * @param <T> a waiting request
 */
public final class PendingQueue<T extends PendingQueue.Entry> {
  /** The properties that determine a request's position; they must not change while it waits. */
  public interface Entry {
    /** Whether the request could still be answered in time when it was queued. */
    Timeliness queuedTimeliness();

    /** Priority of the team; 0 is the most urgent, also for requests without a team. */
    default int teamPriority() {
      return 0;
    }

    /** Priority of the route; 0 is the most urgent. */
    int priority();

    /** Whether the team asked for more than its rate when the request was queued. */
    default TeamStanding queuedStanding() {
      return TeamStanding.WITHIN_RATE;
    }

    /** When the latency objective ends, after which an answer loses most of its value. */
    long objectiveEndNanos();
  }

  private final Comparator<T> order;
  private final Map<String, PriorityQueue<T>> byService = new HashMap<>();

  public PendingQueue(Mechanisms mechanisms) {
    this.order = mechanisms.enabled(Mechanism.LINE_ORDER) ? byTimeliness() : byObjectiveEnd();
  }

  private static <T extends Entry> Comparator<T> byTimeliness() {
    return Comparator.<T, Timeliness>comparing(Entry::queuedTimeliness)
        .thenComparingInt(Entry::teamPriority)
        .thenComparingInt(Entry::priority)
        .thenComparing(Entry::queuedStanding)
        .thenComparingLong(Entry::objectiveEndNanos);
  }

  private static <T extends Entry> Comparator<T> byObjectiveEnd() {
    return Comparator.comparingLong(Entry::objectiveEndNanos);
  }

  /** Adds a request to the queue of a service. */
  public void add(String service, T request) {
    byService.computeIfAbsent(service, name -> new PriorityQueue<>(order)).add(request);
  }

  /** Removes a request from the queue of a service if it is present. */
  public void remove(String service, T request) {
    PriorityQueue<T> queue = byService.get(service);
    if (queue != null) {
      queue.remove(request);
    }
  }

  /** Number of requests that wait for a service. */
  public int size(String service) {
    PriorityQueue<T> queue = byService.get(service);
    return queue == null ? 0 : queue.size();
  }

  /** Returns the next request of a service without removing it. */
  public Optional<T> peek(String service) {
    PriorityQueue<T> queue = byService.get(service);
    return queue == null ? Optional.empty() : Optional.ofNullable(queue.peek());
  }
}
