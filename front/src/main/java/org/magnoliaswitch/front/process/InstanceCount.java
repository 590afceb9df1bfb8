package org.magnoliaswitch.front.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * How many instances serve, as far as this one knows; safe for several threads.
 *
 * <p>Shares of what all instances together may do are worked out from it. While all of them start
 * at once, each knows of few others; by the time the count is settled they have found each other.
 */
public final class InstanceCount {
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final AtomicInteger count;
  private final Clocks clocks;
  private final long startedNanos;

  /**
   * Creates it at the start of the process.
   *
   * @param assumed count until others tell
   */
  public InstanceCount(int assumed, Clocks clocks) {
    this.count = new AtomicInteger(assumed);
    this.clocks = clocks;
    this.startedNanos = clocks.nanos();
  }

  /** The count, this instance included. */
  public int count() {
    return count.get();
  }

  /** Takes what others tell. */
  public void learnt(int told) {
    count.set(told);
  }

  /** Whether there was time to find the others. */
  public boolean settled() {
    return clocks.nanos() - startedNanos >= SETTLE_NANOS;
  }
}
