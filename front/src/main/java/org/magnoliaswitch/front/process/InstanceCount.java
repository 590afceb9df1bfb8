package org.magnoliaswitch.front.process;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.load.SenderSelection;

/**
 * How many instances serve and which of their places this one has, as far as it knows; safe for
 * several threads.
 *
 * <p>Shares of what all instances together may do are worked out from it. While all of them start
 * at once, each knows of few others; by the time the count is settled they have found each other.
 */
public final class InstanceCount {
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final AtomicInteger count;
  private final AtomicReference<Optional<InstanceIndex>> place =
      new AtomicReference<>(Optional.empty());
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

  /**
   * This instance's place among all; the last one it had while it hears nobody, since the others go
   * on counting on it for a while.
   */
  public Optional<InstanceIndex> place() {
    return place.get();
  }

  /** Takes a place that others tell. */
  public void placed(InstanceIndex told) {
    place.set(Optional.of(told));
  }

  /**
   * Draws senders to a server as far as the instances are known now.
   *
   * @param instance name of this instance
   * @param incarnation names the server and its start
   */
  SenderSelection draw(String instance, String incarnation) {
    return new SenderSelection(instance, incarnation, count(), place());
  }

  /** Whether there was time to find the others. */
  public boolean settled() {
    return settlesInNanos() == 0;
  }

  /** Time until the others should have been found; 0 if there was enough. */
  long settlesInNanos() {
    return Math.max(0, startedNanos + SETTLE_NANOS - clocks.nanos());
  }
}
