package org.magnoliaswitch.standins;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What all backend stand-ins executed, so that double executions can be counted. */
final class Executions {
  private final Map<String, AtomicInteger> byOperation = new ConcurrentHashMap<>();
  private final AtomicLong total = new AtomicLong();

  /** Notes one execution of an operation, named by the caller and the same over its retries. */
  void executed(String operation) {
    total.incrementAndGet();
    if (!operation.isEmpty()) {
      byOperation.computeIfAbsent(operation, k -> new AtomicInteger()).incrementAndGet();
    }
  }

  Map<String, AtomicInteger> byOperation() {
    return byOperation;
  }

  long total() {
    return total.get();
  }

  void clear() {
    byOperation.clear();
    total.set(0);
  }
}
