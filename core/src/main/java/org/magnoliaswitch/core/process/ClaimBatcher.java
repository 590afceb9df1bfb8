package org.magnoliaswitch.core.process;

import static java.util.stream.Collectors.partitioningBy;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliaswitch.core.clock.Clocks;
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
 *
 * <p>After the platform was restored from a copy, an absent row does not show that a key is free:
 * {@link ClaimHold} tells which keys are held back. Of these, only those are granted that were
 * granted to the same incarnation before. Claims during whose transaction the epoch rises are made
 * again, since it is unknown whether the restored table contains their rows.
 */
public final class ClaimBatcher {
  /** Maximum number of claims per transaction. */
  public static final int MAX_BATCH = 100;

  private static final String PREFIX = "claim/";

  /** JSON value of a claim's row. */
  private record Holder(String incarnation, String fingerprint) {}

  private record Pending(Claim claim, CompletableFuture<ClaimResult> result) {}

  private final PlatformTable table;
  private final Clocks clocks;
  private final ClaimHold hold;
  private final RememberedClaims remembered;
  private final AtomicLong transactions = new AtomicLong();
  private final ClaimRepetition repetition;
  private List<Pending> pending = new ArrayList<>();

  /** Creates a batcher that uses the system clocks. */
  public ClaimBatcher(PlatformTable table) {
    this(table, Clocks.system());
  }

  /** Creates a batcher. */
  public ClaimBatcher(PlatformTable table, Clocks clocks) {
    this.table = table;
    this.clocks = clocks;
    this.hold = new ClaimHold(table, clocks);
    this.remembered = new RememberedClaims(clocks);
    this.repetition = new ClaimRepetition(table, hold, remembered);
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
      Row row = table.read(List.of(rowKey(key))).getFirst();
      return row.version() == 0
          ? Optional.empty()
          : Optional.of(Json.MAPPER.readValue(row.value(), Holder.class).incarnation());
    } catch (IOException | PlatformException e) {
      return Optional.empty();
    }
  }

  /**
   * Remembers a claim that another instance has just granted to this one.
   *
   * @param sinceNanos monotonic time before the claim was requested
   */
  public void remember(Claim claim, long sinceNanos) {
    remembered.add(claim, sinceNanos);
  }

  /** Writes claims again that a restore has removed, a part of them with each call. */
  public void repeatClaims() {
    repetition.run();
  }

  /**
   * Returns in how many seconds a request should come again whose key is held back after a restore,
   * or empty if keys with this retention are not held back.
   */
  public OptionalLong retryAfterSeconds(long retentionSeconds) {
    return hold.retryAfterSeconds(retentionSeconds);
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
    try {
      ClaimHold.State state = hold.state();
      Map<Boolean, List<Pending>> byPermission =
          batch.stream().collect(partitioningBy(p -> state.permits(p.claim().retentionSeconds())));
      commitPermitted(byPermission.get(true), state.epoch());
      answerHeldBack(byPermission.get(false), state.epoch());
    } catch (PlatformException e) {
      refuse(batch);
    }
  }

  private void commitPermitted(List<Pending> batch, long epoch) {
    if (batch.isEmpty()) {
      return;
    }
    List<ConditionalWrite> writes = new ArrayList<>();
    batch.forEach(p -> writes.add(write(p.claim())));
    transactions.incrementAndGet();
    long sinceNanos = clocks.nanos();
    TransactionResult result = table.transact(writes);
    if (table.epoch() != epoch) {
      commit(batch);
      return;
    }
    switch (result) {
      case TransactionResult.Committed committed -> batch.forEach(p -> grant(p, sinceNanos));
      case TransactionResult.Conflict conflict -> resolveConflict(batch, conflict.rows(), epoch);
      case TransactionResult.Unknown unknown -> resolveUnknown(batch, epoch);
    }
  }

  /**
   * Answers claims of keys whose earlier claim may be lost. Only rows of claims granted before are
   * inserted; a takeover is refused, since the copy may lack a takeover by another instance.
   */
  private void answerHeldBack(List<Pending> batch, long epoch) throws PlatformException {
    if (batch.isEmpty()) {
      return;
    }
    List<String> keys = batch.stream().map(p -> p.claim().key()).toList();
    repetition.insertMissing(keys);
    List<Row> rows = table.read(keys.stream().map(ClaimBatcher::rowKey).toList());
    if (table.epoch() != epoch) {
      commit(batch);
      return;
    }
    for (int i = 0; i < batch.size(); i++) {
      batch.get(i).result().complete(resultWhileHeldBack(batch.get(i).claim(), rows.get(i)));
    }
  }

  private ClaimResult resultWhileHeldBack(Claim claim, Row row) {
    if (row.version() == 0) {
      return ClaimResult.NO_ANSWER;
    }
    ClaimResult result = fromRow(claim, row);
    boolean answerable =
        result.status() == ClaimResult.Status.GRANTED
            ? remembered.contains(claim)
            : row.version() != claim.replacesRow();
    return answerable ? result : ClaimResult.NO_ANSWER;
  }

  private void resolveConflict(List<Pending> batch, List<Row> rows, long epoch) {
    Map<String, Row> held = new HashMap<>();
    rows.forEach(row -> held.put(row.key(), row));
    List<Pending> free = new ArrayList<>();
    for (Pending next : batch) {
      Row row = held.get(rowKey(next.claim().key()));
      if (row == null) {
        free.add(next);
      } else {
        next.result().complete(fromRow(next.claim(), row));
      }
    }
    boolean progress = free.size() < batch.size();
    if (progress) {
      commitPermitted(free, epoch);
    } else {
      refuse(free);
    }
  }

  private void resolveUnknown(List<Pending> batch, long epoch) {
    try {
      List<Row> rows = table.read(batch.stream().map(p -> rowKey(p.claim().key())).toList());
      if (table.epoch() != epoch) {
        commit(batch);
        return;
      }
      for (int i = 0; i < batch.size(); i++) {
        Pending next = batch.get(i);
        boolean absent = rows.get(i).version() == 0;
        next.result().complete(absent ? ClaimResult.NO_ANSWER : fromRow(next.claim(), rows.get(i)));
      }
    } catch (PlatformException e) {
      refuse(batch);
    }
  }

  private static void refuse(List<Pending> batch) {
    batch.forEach(p -> p.result().complete(ClaimResult.NO_ANSWER));
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

  private void grant(Pending pending, long sinceNanos) {
    Claim claim = pending.claim();
    remembered.add(claim, sinceNanos);
    pending
        .result()
        .complete(
            new ClaimResult(
                ClaimResult.Status.GRANTED, claim.incarnation(), claim.fingerprint(), 0));
  }

  /** Returns the write of a claim's row. */
  static ConditionalWrite write(Claim claim) {
    return new ConditionalWrite(
        rowKey(claim.key()), claim.replacesRow(), value(claim), claim.retentionSeconds());
  }

  /** Returns the key of the row for an idempotency key. */
  static String rowKey(String key) {
    return PREFIX + key;
  }

  private static String value(Claim claim) {
    try {
      return Json.MAPPER.writeValueAsString(new Holder(claim.incarnation(), claim.fingerprint()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the holder of a claim cannot be written as JSON", e);
    }
  }
}
