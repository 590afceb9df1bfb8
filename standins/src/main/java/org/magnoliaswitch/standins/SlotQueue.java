package org.magnoliaswitch.standins;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The slots of a backend stand-in and a bounded queue, served in the order of arrival. */
final class SlotQueue {
  private final Semaphore slots;
  private final int capacity;
  private final int queueLimit;
  private final AtomicInteger inFlight = new AtomicInteger();

  SlotQueue(int slots, int queueLimit) {
    this.slots = new Semaphore(slots, true);
    this.capacity = slots;
    this.queueLimit = queueLimit;
  }

  /** Adds a request; returns false if all slots are in use and the queue is full. */
  boolean tryEnter() {
    if (inFlight.incrementAndGet() > capacity + queueLimit) {
      inFlight.decrementAndGet();
      return false;
    }
    return true;
  }

  /**
   * Waits for a slot; returns false if none is free within the time or the thread is interrupted.
   */
  boolean tryAcquireSlot(long timeoutMillis) {
    try {
      return slots.tryAcquire(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  void releaseSlot() {
    slots.release();
  }

  void leave() {
    inFlight.decrementAndGet();
  }

  int inFlight() {
    return inFlight.get();
  }

  int capacity() {
    return capacity;
  }
}
