package org.magnoliaswitch.front.process;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.load.SenderSelection;

/**
 * The number of serving instances and the index of this one among them, as far as known;
 * thread-safe.
 *
 * <p>Shares of limits that apply to all instances together are computed from it. If all instances
 * start at once, each knows only a few others at first; by the time the count is settled they have
 * found each other.
 */
public final class InstanceCount {
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final AtomicInteger count;
  private final AtomicReference<Optional<InstanceIndex>> index =
      new AtomicReference<>(Optional.empty());
  private final Clocks clocks;
  private final long startedNanos;

  /**
   * Creates the count at the start of the process.
   *
   * @param assumed count until another instance reports one
   */
  public InstanceCount(int assumed, Clocks clocks) {
    this.count = new AtomicInteger(assumed);
    this.clocks = clocks;
    this.startedNanos = clocks.nanos();
  }

  /** Returns the number of instances, including this one. */
  public int count() {
    return count.get();
  }

  /** Sets the number of instances that others report. */
  public void update(int reported) {
    count.set(reported);
  }

  /**
   * Returns the index of this instance among all. It is kept while no messages from other instances
   * arrive, since these continue to count this instance for a while.
   */
  public Optional<InstanceIndex> index() {
    return index.get();
  }

  /** Sets the index that a seed has assigned to this instance. */
  public void updateIndex(InstanceIndex assigned) {
    index.set(Optional.of(assigned));
  }

  /**
   * Returns the selection of the instances that send to a server, from the currently known
   * instances.
   *
   * @param instance name of this instance
   * @param incarnation incarnation of the server
   */
  SenderSelection selectSenders(String instance, String incarnation) {
    return new SenderSelection(instance, incarnation, count(), index());
  }

  /** Whether this instance has been running long enough to have found the others. */
  public boolean settled() {
    return untilSettledNanos() == 0;
  }

  /** Returns the time until the others should have been found; 0 if it has passed. */
  long untilSettledNanos() {
    return Math.max(0, startedNanos + SETTLE_NANOS - clocks.nanos());
  }
}
