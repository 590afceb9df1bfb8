package org.magnoliaswitch.core.testing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.magnoliaswitch.core.platform.ConditionalWrite;
import org.magnoliaswitch.core.platform.ObjectStore;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.platform.PlatformTable;
import org.magnoliaswitch.core.platform.Row;
import org.magnoliaswitch.core.platform.TransactionResult;

/**
 * A table service and an object store in memory. Faults are injected into the next transactions.
 */
public final class FakePlatform implements PlatformTable, ObjectStore {
  /** The fault of a transaction. */
  public enum Fault {
    NONE,
    /** The writes are not applied and the result is unknown. */
    DROPPED,
    /** The writes are applied, but the result is unknown. */
    ANSWER_LOST,
    /** The result is unknown; the writes are applied by {@link #applyDelayedWrites}. */
    DELAYED
  }

  private static final List<Fault> FAULTS = List.of(Fault.values());

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final Deque<Fault> faults = new ArrayDeque<>();
  private final List<List<ConditionalWrite>> delayed = new ArrayList<>();
  private final Map<String, Long> retentions = new HashMap<>();
  private boolean unavailable;
  private long epoch;
  private int transactions;

  /** Queues faults for the next transactions, in this order. */
  public synchronized void queueFaults(Fault... queued) {
    faults.addAll(List.of(queued));
  }

  /** Queues a random fault for the next transaction. */
  public synchronized void queueRandomFault(SplittableRandom random) {
    faults.add(FAULTS.get(random.nextInt(FAULTS.size())));
  }

  /** Makes every call fail, or succeed again. */
  public synchronized void setUnavailable(boolean value) {
    unavailable = value;
  }

  /** Applies the delayed writes, as far as their conditions still hold. */
  public synchronized void applyDelayedWrites() {
    delayed.forEach(this::apply);
    delayed.clear();
  }

  /** Returns a function that restores the platform to its present contents. */
  public synchronized Runnable copy() {
    Map<String, Row> rowsNow = Map.copyOf(rows);
    Map<String, byte[]> objectsNow = Map.copyOf(objects);
    return () -> restore(rowsNow, objectsNow);
  }

  private synchronized void restore(Map<String, Row> earlierRows, Map<String, byte[]> earlier) {
    epoch++;
    rows.clear();
    rows.putAll(earlierRows);
    objects.clear();
    objects.putAll(earlier);
  }

  /** Returns the number of transactions that were applied or that conflicted. */
  public synchronized int transactions() {
    return transactions;
  }

  @Override
  public synchronized List<Row> read(List<String> keys) throws PlatformException {
    requireAvailable();
    return keys.stream().map(this::row).toList();
  }

  @Override
  public synchronized List<Row> scan(String prefix, int limit) throws PlatformException {
    requireAvailable();
    return rows.subMap(prefix, true, prefix + "\uffff", true).descendingMap().values().stream()
        .limit(limit)
        .toList();
  }

  @Override
  public synchronized TransactionResult transact(List<ConditionalWrite> writes) {
    Fault fault = faults.isEmpty() ? Fault.NONE : faults.poll();
    if (unavailable || fault == Fault.DROPPED) {
      return new TransactionResult.Unknown("down");
    }
    if (fault == Fault.DELAYED) {
      delayed.add(writes);
      return new TransactionResult.Unknown("late");
    }
    TransactionResult result = apply(writes);
    return fault == Fault.ANSWER_LOST ? new TransactionResult.Unknown("lost") : result;
  }

  @Override
  public synchronized Optional<byte[]> get(String name) throws PlatformException {
    requireAvailable();
    return Optional.ofNullable(objects.get(name));
  }

  @Override
  public synchronized void put(String name, byte[] content) throws PlatformException {
    requireAvailable();
    objects.put(name, content);
  }

  @Override
  public synchronized long epoch() {
    return epoch;
  }

  /** Deletes the rows whose retention ends within a time after they were written. */
  public synchronized void expireRows(long seconds) {
    rows.keySet().removeIf(key -> retentions.get(key) > 0 && retentions.get(key) <= seconds);
  }

  private TransactionResult apply(List<ConditionalWrite> writes) {
    transactions++;
    List<Row> conflicts =
        writes.stream()
            .filter(write -> row(write.key()).version() != write.expectedVersion())
            .map(write -> row(write.key()))
            .toList();
    if (!conflicts.isEmpty()) {
      return new TransactionResult.Conflict(conflicts);
    }
    writes.forEach(w -> retentions.put(w.key(), w.retentionSeconds()));
    writes.forEach(w -> rows.put(w.key(), new Row(w.key(), w.expectedVersion() + 1, w.value())));
    return new TransactionResult.Committed();
  }

  private Row row(String key) {
    return rows.getOrDefault(key, new Row(key, 0, ""));
  }

  private void requireAvailable() throws PlatformException {
    if (unavailable) {
      throw new PlatformException("down");
    }
  }
}
