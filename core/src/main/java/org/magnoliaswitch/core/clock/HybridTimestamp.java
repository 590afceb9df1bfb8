package org.magnoliaswitch.core.clock;

import java.util.Comparator;

/**
 * A timestamp whose order is consistent with causality across processes.
 *
 * <p>Source: Kulkarni et al., "Logical Physical Clocks" (OPODIS 2014).
 *
 * @param millis largest wall-clock time known when the timestamp was issued
 * @param counter orders events with the same value of {@code millis}
 */
public record HybridTimestamp(long millis, int counter) implements Comparable<HybridTimestamp> {
  private static final Comparator<HybridTimestamp> ORDER =
      Comparator.comparingLong(HybridTimestamp::millis).thenComparingInt(HybridTimestamp::counter);

  @Override
  public int compareTo(HybridTimestamp other) {
    return ORDER.compare(this, other);
  }
}
