package org.magnoliaswitch.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.platform.ConditionalWrite;
import org.magnoliaswitch.core.platform.PlatformTable;
import org.magnoliaswitch.core.platform.Row;
import org.magnoliaswitch.core.platform.TransactionResult;

/** An in-memory table service with transactions of conditional writes and with rows that expire. */
public final class StandinTable implements PlatformTable {
  private record StoredRow(Row row, long expiresMillis) {}

  private final Clocks clocks;
  private final NavigableMap<String, StoredRow> rows = new TreeMap<>();
  private long epoch;

  public StandinTable(Clocks clocks) {
    this.clocks = clocks;
  }

  @Override
  public synchronized List<Row> read(List<String> keys) {
    return keys.stream().map(this::row).toList();
  }

  @Override
  public synchronized List<Row> scan(String prefix, int limit) {
    List<Row> found = new ArrayList<>();
    for (String key : rows.subMap(prefix, true, prefix + '\uffff', true).descendingKeySet()) {
      Row row = row(key);
      if (row.version() > 0 && found.size() < limit) {
        found.add(row);
      }
    }
    return found;
  }

  @Override
  public synchronized TransactionResult transact(List<ConditionalWrite> writes) {
    List<Row> conflicts = new ArrayList<>();
    for (ConditionalWrite write : writes) {
      Row row = row(write.key());
      if (row.version() != write.expectedVersion()) {
        conflicts.add(row);
      }
    }
    if (!conflicts.isEmpty()) {
      return new TransactionResult.Conflict(conflicts);
    }
    for (ConditionalWrite write : writes) {
      long expires =
          write.retentionSeconds() == 0
              ? Long.MAX_VALUE
              : clocks.millis() + write.retentionSeconds() * 1_000;
      Row row = new Row(write.key(), write.expectedVersion() + 1, write.value());
      rows.put(write.key(), new StoredRow(row, expires));
    }
    return new TransactionResult.Committed();
  }

  @Override
  public synchronized long epoch() {
    return epoch;
  }

  /** Takes a copy; the result restores the table from it and begins another epoch. */
  synchronized Runnable copy() {
    NavigableMap<String, StoredRow> copied = new TreeMap<>(rows);
    return () -> restore(copied);
  }

  private synchronized void restore(NavigableMap<String, StoredRow> copied) {
    rows.clear();
    rows.putAll(copied);
    epoch++;
  }

  private Row row(String key) {
    StoredRow stored = rows.get(key);
    boolean present = stored != null && stored.expiresMillis() > clocks.millis();
    return present ? stored.row() : new Row(key, 0, "");
  }
}
