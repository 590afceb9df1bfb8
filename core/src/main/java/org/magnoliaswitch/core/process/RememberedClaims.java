package org.magnoliaswitch.core.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.peer.Claim;

/**
 * The latest claims that were granted here or to this instance, from which rows are written again
 * that a restore has removed. A claim that is missing here is never granted to another holder for
 * that reason; its key is held back as any other.
 */
final class RememberedClaims {
  /** Some 4 MB; a claiming instance grants about a hundred claims a second. */
  private static final int MAX_CLAIMS = 10_000;

  private record Remembered(Claim claim, long sinceNanos) {}

  private final Clocks clocks;
  private final Map<String, Remembered> byKey = new LinkedHashMap<>();

  RememberedClaims(Clocks clocks) {
    this.clocks = clocks;
  }

  /**
   * Adds a claim whose row was just written, and drops the oldest one if there are too many.
   *
   * @param sinceNanos monotonic time before the row was written, so that the row outlasts this
   *     entry
   */
  synchronized void add(Claim claim, long sinceNanos) {
    byKey.remove(claim.key());
    byKey.put(claim.key(), new Remembered(claim, sinceNanos));
    if (byKey.size() > MAX_CLAIMS) {
      byKey.remove(byKey.keySet().iterator().next());
    }
  }

  /** Returns whether a claim was granted to the same incarnation and has not expired. */
  synchronized boolean contains(Claim claim) {
    return find(claim.key())
        .filter(granted -> granted.incarnation().equals(claim.incarnation()))
        .isPresent();
  }

  /**
   * Returns the claim of a key for the rest of its retention, to be inserted where no row is, or
   * empty if none is known or it has expired.
   */
  synchronized Optional<Claim> find(String key) {
    return Optional.ofNullable(byKey.get(key)).flatMap(this::unexpired);
  }

  /** Returns the keys, those claimed last first: a copy lacks these most likely. */
  synchronized List<String> latestKeys() {
    List<String> keys = new ArrayList<>(byKey.keySet());
    Collections.reverse(keys);
    return keys;
  }

  private Optional<Claim> unexpired(Remembered remembered) {
    Claim claim = remembered.claim();
    long age = TimeUnit.NANOSECONDS.toSeconds(clocks.nanos() - remembered.sinceNanos());
    long rest = claim.retentionSeconds() == 0 ? 0 : claim.retentionSeconds() - age;
    return claim.retentionSeconds() > 0 && rest <= 0
        ? Optional.empty()
        : Optional.of(new Claim(claim.key(), claim.incarnation(), claim.fingerprint(), 0, rest));
  }
}
