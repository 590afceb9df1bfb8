package org.magnoliaswitch.front.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** The instances that have made themselves known to a seed as relays. Not thread-safe. */
final class RelayRegistry {
  /** Three times the interval at which instances make themselves known. */
  static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(90);

  /** Relays told to one instance. */
  private static final int SAMPLE = 16;

  /** Limit of the memory; several times the instances that are expected. */
  private static final int MAX_ENTRIES = 16_384;

  private final RandomGenerator random;
  private final Map<InetSocketAddress, Long> seenNanos = new HashMap<>();

  RelayRegistry(RandomGenerator random) {
    this.random = random;
  }

  /** Records an instance and returns some of the others. */
  List<InetSocketAddress> join(InetSocketAddress relay, long nowNanos) {
    seenNanos.values().removeIf(seen -> nowNanos - seen > EXPIRY_NANOS);
    List<InetSocketAddress> others = new ArrayList<>(seenNanos.keySet());
    others.remove(relay);
    if (seenNanos.size() < MAX_ENTRIES || seenNanos.containsKey(relay)) {
      seenNanos.put(relay, nowNanos);
    }
    int size = Math.min(SAMPLE, others.size());
    for (int i = 0; i < size; i++) {
      Collections.swap(others, i, random.nextInt(i, others.size()));
    }
    return others.subList(0, size);
  }
}
