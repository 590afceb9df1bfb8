package org.magnoliaswitch.standins;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The slots of one backend stand-in with a bounded first-come queue. */
final class SlotQueue {
  private final Semaphore slots;
  private final int capacity;
  private final int queue;
  private final AtomicInteger held = new AtomicInteger();

  SlotQueue(int slots, int queue) {
    this.slots = new Semaphore(slots, true);
    this.capacity = slots;
    this.queue = queue;
  }

  /** Enters the queue; false when it is full. */
  boolean enter() {
    if (held.incrementAndGet() > capacity + queue) {
      held.decrementAndGet();
      return false;
    }
    return true;
  }

  /** Waits for a slot; false when the time was up first. */
  boolean takeSlot(long waitMillis) {
    try {
      return slots.tryAcquire(waitMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  void releaseSlot() {
    slots.release();
  }

  void leave() {
    held.decrementAndGet();
  }

  int held() {
    return held.get();
  }

  int capacity() {
    return capacity;
  }
}
