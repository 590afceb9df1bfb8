package org.magnoliaswitch.front.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Selects the instances through which servers of a service are reached. The order is random, so
 * that the connections of many instances are spread over all that can help. Not thread-safe.
 *
 * @param <R> identifies an instance
 */
public final class RelaySelection<R> {
  /** Instances that are remembered; the latest ones are kept. */
  private static final int MAX_KNOWN = 32;

  /** How long an instance that could not help with a service is not asked again for it. */
  private static final long DECLINED_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** An instance that could not help with a service. */
  private record Declined(Object relay, String service) {}

  private final RandomGenerator random;
  private final Map<R, Boolean> known = new LinkedHashMap<>();
  private final Map<Declined, Long> declinedUntilNanos = new HashMap<>();

  public RelaySelection(RandomGenerator random) {
    this.random = random;
  }

  /** Adds instances; the oldest ones are forgotten when there are too many. */
  public void add(Collection<R> relays) {
    for (R relay : relays) {
      known.remove(relay);
      known.put(relay, true);
    }
    while (known.size() > MAX_KNOWN) {
      known.remove(known.keySet().iterator().next());
    }
  }

  /** Records that an instance could not help with a service. */
  public void declined(R relay, String service, long nowNanos) {
    declinedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    declinedUntilNanos.put(new Declined(relay, service), nowNanos + DECLINED_NANOS);
  }

  /** Whether there is an instance to ask for a service. */
  public boolean anyFor(String service, long nowNanos) {
    if (declinedUntilNanos.isEmpty()) {
      return !known.isEmpty();
    }
    return known.keySet().stream().anyMatch(relay -> mayAsk(relay, service, nowNanos));
  }

  /** Returns the instances to ask for a service, in this order. */
  public List<R> candidates(String service, long nowNanos) {
    List<R> candidates = new ArrayList<>();
    for (R relay : known.keySet()) {
      if (mayAsk(relay, service, nowNanos)) {
        candidates.add(random.nextInt(candidates.size() + 1), relay);
      }
    }
    return candidates;
  }

  private boolean mayAsk(R relay, String service, long nowNanos) {
    Long until = declinedUntilNanos.get(new Declined(relay, service));
    return until == null || nowNanos - until >= 0;
  }
}
