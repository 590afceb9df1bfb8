package org.magnoliaswitch.standins;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the executions of all backend stand-ins by operation, to detect operations that were
 * executed more than once.
 */
final class ExecutionCounter {
  private final Map<String, AtomicInteger> countsByOperation = new ConcurrentHashMap<>();
  private final AtomicLong total = new AtomicLong();

  /**
   * Records an execution.
   *
   * @param operation id that the caller gives to the operation and keeps for its retries; empty if
   *     there is none
   */
  void recordExecution(String operation) {
    total.incrementAndGet();
    if (!operation.isEmpty()) {
      countsByOperation.computeIfAbsent(operation, k -> new AtomicInteger()).incrementAndGet();
    }
  }

  Map<String, AtomicInteger> countsByOperation() {
    return countsByOperation;
  }

  long total() {
    return total.get();
  }

  void clear() {
    countsByOperation.clear();
    total.set(0);
  }
}
