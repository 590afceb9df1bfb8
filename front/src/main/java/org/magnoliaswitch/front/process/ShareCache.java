package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.magnoliaswitch.front.load.InstanceIndex;

/**
 * Caches this instance's shares of limits on all instances together, until the number of instances
 * or its index among them changes; used by one thread. Each search for a server looks up shares,
 * and computing one is expensive.
 *
 * @param <K> what a share depends on besides the instances
 * @param <S> type of a share
 */
final class ShareCache<K, S> {
  private static final int MAX_SHARES = 2_000;

  private final InstanceCount instances;
  private final Function<K, S> compute;
  private final Map<K, S> shares = new HashMap<>();
  private Basis basis = new Basis(0, Optional.empty());

  /** The state of the instances that all shares depend on. */
  private record Basis(int instances, Optional<InstanceIndex> index) {}

  ShareCache(InstanceCount instances, Function<K, S> compute) {
    this.instances = instances;
    this.compute = compute;
  }

  /** Returns the share for a key, which is computed if it is not cached. */
  S get(K key) {
    Basis now = new Basis(instances.count(), instances.index());
    if (!now.equals(basis) || shares.size() >= MAX_SHARES) {
      shares.clear();
      basis = now;
    }
    return shares.computeIfAbsent(key, compute);
  }
}
