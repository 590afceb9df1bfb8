package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.magnoliaswitch.front.load.InstanceIndex;

/**
 * Keeps this instance's shares of what all instances together may send, until the number of
 * instances or its place among them changes; used by one thread. A share is looked up in each
 * search, and takes a while to work out.
 *
 * @param <K> what a share is worked out from besides
 * @param <S> the share
 */
final class ShareCache<K, S> {
  private static final int MOST_SHARES = 2_000;

  private final InstanceCount instances;
  private final Function<K, S> workOut;
  private final Map<K, S> shares = new HashMap<>();
  private Basis basis = new Basis(0, Optional.empty());

  /** What all shares are worked out from. */
  private record Basis(int instances, Optional<InstanceIndex> place) {}

  ShareCache(InstanceCount instances, Function<K, S> workOut) {
    this.instances = instances;
    this.workOut = workOut;
  }

  /** The share for a key. */
  S of(K key) {
    Basis now = new Basis(instances.count(), instances.place());
    if (!now.equals(basis) || shares.size() >= MOST_SHARES) {
      shares.clear();
      basis = now;
    }
    return shares.computeIfAbsent(key, workOut);
  }
}
