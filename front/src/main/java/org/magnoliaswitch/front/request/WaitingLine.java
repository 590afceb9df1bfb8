package org.magnoliaswitch.front.request;

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
 */
final class WaitingLine {
  private static final Comparator<Exchange> ORDER =
      Comparator.comparing(Exchange::chanceInLine)
          .thenComparingInt(Exchange::priority)
          .thenComparingLong(Exchange::objectiveEndNanos);

  private final Map<String, PriorityQueue<Exchange>> byService = new HashMap<>();

  /** Adds a request. */
  void add(String service, Exchange exchange) {
    byService.computeIfAbsent(service, name -> new PriorityQueue<>(ORDER)).add(exchange);
  }

  /** Takes a request out, if it is there. */
  void remove(String service, Exchange exchange) {
    PriorityQueue<Exchange> line = byService.get(service);
    if (line != null) {
      line.remove(exchange);
    }
  }

  /** The request that goes next. */
  Optional<Exchange> first(String service) {
    PriorityQueue<Exchange> line = byService.get(service);
    return line == null ? Optional.empty() : Optional.ofNullable(line.peek());
  }
}
