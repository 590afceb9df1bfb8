package org.magnoliaswitch.core.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;
import org.magnoliaswitch.core.platform.ConditionalWrite;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.platform.PlatformTable;
import org.magnoliaswitch.core.platform.Row;
import org.magnoliaswitch.core.platform.TransactionResult;
import org.magnoliaswitch.core.version.Json;

/**
 * Combines claims of keys into table transactions.
 *
 * <p>A claim inserts a row, or replaces the exact version given. Until its retention ends, it does
 * not pass to another holder merely because time has passed: its holder may be paused and still
 * send the request. If the answer to a transaction is lost, the rows are read; a claim without a
 * row counts as unavailable. Should the write be applied later, the row still names the same
 * holder, which may then execute the key on the caller's next attempt.
 */
public final class ClaimBatcher {
  /** Maximum number of claims per transaction. */
  public static final int MAX_BATCH = 100;

  private static final String PREFIX = "claim/";

  /** JSON value of a claim's row. */
  private record Holder(String incarnation, String fingerprint) {}

  private record Pending(Claim claim, CompletableFuture<ClaimResult> result) {}

  private final PlatformTable table;
  private final AtomicLong transactions = new AtomicLong();
  private List<Pending> pending = new ArrayList<>();

  public ClaimBatcher(PlatformTable table) {
    this.table = table;
  }

  /** Adds a claim to the next transaction. */
  public synchronized CompletableFuture<ClaimResult> add(Claim claim) {
    CompletableFuture<ClaimResult> result = new CompletableFuture<>();
    pending.add(new Pending(claim, result));
    return result;
  }

  /** Returns whether claims are waiting for a transaction. */
  public synchronized boolean hasPending() {
    return !pending.isEmpty();
  }

  /**
   * Commits the waiting claims, at most {@link #MAX_BATCH}, in one transaction, and those without a
   * conflict in another one if some keys turn out to be held. Concurrent calls are safe, since each
   * takes a batch of its own.
   */
  public void flush() {
    List<Pending> batch = takeBatch();
    if (batch.isEmpty()) {
      return;
    }
    Map<String, Pending> unique = new LinkedHashMap<>();
    for (Pending next : batch) {
      Pending first = unique.putIfAbsent(next.claim().key(), next);
      if (first != null) {
        // A key that occurs twice in a batch is claimed once; the second claim gets its result.
        var unused =
            first
                .result()
                .thenAccept(
                    r -> next.result().complete(resultForDuplicate(next.claim(), first, r)));
      }
    }
    commit(new ArrayList<>(unique.values()));
  }

  /**
   * Returns the incarnation that holds a key, or empty if the table has no readable row for it or
   * does not answer.
   */
  public Optional<String> holder(String key) {
    try {
      Row row = table.read(List.of(PREFIX + key)).getFirst();
      return row.version() == 0
          ? Optional.empty()
          : Optional.of(Json.MAPPER.readValue(row.value(), Holder.class).incarnation());
    } catch (IOException | PlatformException e) {
      return Optional.empty();
    }
  }

  /** Returns the number of transactions so far. */
  public long transactions() {
    return transactions.get();
  }

  private synchronized List<Pending> takeBatch() {
    int size = Math.min(MAX_BATCH, pending.size());
    List<Pending> batch = new ArrayList<>(pending.subList(0, size));
    pending = new ArrayList<>(pending.subList(size, pending.size()));
    return batch;
  }

  private void commit(List<Pending> batch) {
    if (batch.isEmpty()) {
      return;
    }
    List<ConditionalWrite> writes = new ArrayList<>();
    batch.forEach(p -> writes.add(write(p.claim())));
    transactions.incrementAndGet();
    switch (table.transact(writes)) {
      case TransactionResult.Committed committed -> batch.forEach(ClaimBatcher::grant);
      case TransactionResult.Conflict conflict -> resolveConflict(batch, conflict.rows());
      case TransactionResult.Unknown unknown -> resolveUnknown(batch);
    }
  }

  private void resolveConflict(List<Pending> batch, List<Row> rows) {
    Map<String, Row> held = new HashMap<>();
    rows.forEach(row -> held.put(row.key(), row));
    List<Pending> free = new ArrayList<>();
    for (Pending next : batch) {
      Row row = held.get(rowKey(next.claim()));
      if (row == null) {
        free.add(next);
      } else {
        next.result().complete(fromRow(next.claim(), row));
      }
    }
    boolean progress = free.size() < batch.size();
    if (progress) {
      commit(free);
    } else {
      free.forEach(p -> p.result().complete(ClaimResult.NO_ANSWER));
    }
  }

  private void resolveUnknown(List<Pending> batch) {
    try {
      List<Row> rows = table.read(batch.stream().map(p -> rowKey(p.claim())).toList());
      for (int i = 0; i < batch.size(); i++) {
        Pending next = batch.get(i);
        boolean absent = rows.get(i).version() == 0;
        next.result().complete(absent ? ClaimResult.NO_ANSWER : fromRow(next.claim(), rows.get(i)));
      }
    } catch (PlatformException e) {
      batch.forEach(p -> p.result().complete(ClaimResult.NO_ANSWER));
    }
  }

  private static ClaimResult resultForDuplicate(Claim claim, Pending first, ClaimResult result) {
    boolean sameHolder = first.claim().incarnation().equals(claim.incarnation());
    if (result.status() != ClaimResult.Status.GRANTED || sameHolder) {
      return result;
    }
    return new ClaimResult(
        ClaimResult.Status.HELD,
        first.claim().incarnation(),
        first.claim().fingerprint(),
        result.row());
  }

  private static ClaimResult fromRow(Claim claim, Row row) {
    try {
      Holder holder = Json.MAPPER.readValue(row.value(), Holder.class);
      ClaimResult.Status status =
          holder.incarnation().equals(claim.incarnation())
              ? ClaimResult.Status.GRANTED
              : ClaimResult.Status.HELD;
      return new ClaimResult(status, holder.incarnation(), holder.fingerprint(), row.version());
    } catch (IOException e) {
      return ClaimResult.NO_ANSWER;
    }
  }

  private static void grant(Pending pending) {
    Claim claim = pending.claim();
    pending
        .result()
        .complete(
            new ClaimResult(
                ClaimResult.Status.GRANTED, claim.incarnation(), claim.fingerprint(), 0));
  }

  private static ConditionalWrite write(Claim claim) {
    return new ConditionalWrite(
        rowKey(claim), claim.replacesRow(), value(claim), claim.retentionSeconds());
  }

  private static String rowKey(Claim claim) {
    return PREFIX + claim.key();
  }

  private static String value(Claim claim) {
    try {
      return Json.MAPPER.writeValueAsString(new Holder(claim.incarnation(), claim.fingerprint()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the holder of a claim cannot be written as JSON", e);
    }
  }
}
