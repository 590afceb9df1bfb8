package org.magnoliaswitch.core.clock;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;

/** Issues hybrid logical timestamps and merges the timestamps of received messages. */
public final class HybridClock {
  /** Limits how far a peer with a wrong clock can advance this clock. */
  private static final long MAX_DRIFT_MILLIS = 60_000;

  private final InstantSource wall;
  private final AtomicReference<HybridTimestamp> last =
      new AtomicReference<>(new HybridTimestamp(0, 0));

  public HybridClock(InstantSource wall) {
    this.wall = wall;
  }

  /** Returns a timestamp greater than all timestamps issued or merged before. */
  public HybridTimestamp next() {
    return last.updateAndGet(previous -> successor(previous, wall.millis()));
  }

  /**
   * Makes all later timestamps greater than the received one, unless it is more than {@link
   * #MAX_DRIFT_MILLIS} ahead of the wall clock.
   */
  public void merge(HybridTimestamp received) {
    if (received.millis() <= wall.millis() + MAX_DRIFT_MILLIS) {
      last.accumulateAndGet(received, (a, b) -> a.compareTo(b) >= 0 ? a : b);
    }
  }

  private static HybridTimestamp successor(HybridTimestamp previous, long now) {
    return now > previous.millis()
        ? new HybridTimestamp(now, 0)
        : new HybridTimestamp(previous.millis(), previous.counter() + 1);
  }
}
