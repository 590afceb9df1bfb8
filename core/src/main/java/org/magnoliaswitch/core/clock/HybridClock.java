package org.magnoliaswitch.core.clock;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;

/** Issues hybrid logical time stamps and merges those of received messages. */
public final class HybridClock {
  /** Bounds how far a peer with a wrong clock can push this one ahead. */
  private static final long MAX_DRIFT_MILLIS = 60_000;

  private final InstantSource wall;
  private final AtomicReference<HybridTimestamp> last =
      new AtomicReference<>(new HybridTimestamp(0, 0));

  public HybridClock(InstantSource wall) {
    this.wall = wall;
  }

  /** A time stamp after all that were issued or merged before. */
  public HybridTimestamp next() {
    return last.updateAndGet(before -> successor(before, wall.millis()));
  }

  /** Makes later time stamps exceed one that a peer sent. */
  public void merge(HybridTimestamp received) {
    if (received.millis() <= wall.millis() + MAX_DRIFT_MILLIS) {
      last.accumulateAndGet(received, (a, b) -> a.compareTo(b) >= 0 ? a : b);
    }
  }

  private static HybridTimestamp successor(HybridTimestamp before, long now) {
    return now > before.millis()
        ? new HybridTimestamp(now, 0)
        : new HybridTimestamp(before.millis(), before.counter() + 1);
  }
}
