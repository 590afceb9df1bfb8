package org.magnoliaswitch.core.peer;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Number of connections that are open on behalf of peers. Thread-safe. */
final class RelayedCount {
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition none = lock.newCondition();
  private int count;

  /** Adds a connection unless there are too many. */
  boolean tryAdd(int max) {
    lock.lock();
    try {
      if (count >= max) {
        return false;
      }
      count++;
      return true;
    } finally {
      lock.unlock();
    }
  }

  void remove() {
    lock.lock();
    try {
      count--;
      if (count == 0) {
        none.signalAll();
      }
    } finally {
      lock.unlock();
    }
  }

  int count() {
    lock.lock();
    try {
      return count;
    } finally {
      lock.unlock();
    }
  }

  /** Waits until there is none; returns whether that came in time. */
  boolean awaitNone(long timeoutMillis) {
    long left = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    lock.lock();
    try {
      while (count > 0 && left > 0) {
        left = none.awaitNanos(left);
      }
      return count == 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      lock.unlock();
    }
  }
}
