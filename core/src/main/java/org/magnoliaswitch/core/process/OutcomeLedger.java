package org.magnoliaswitch.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * In-memory ledger of the keys that this incarnation has started to execute.
 *
 * <p>A key moves from running to one of three outcomes. Only {@link KeyOutcome.NotExecuted} leads
 * back to running, so a rejected or expired request does not use up its key, and a request that a
 * server may have executed is never sent again.
 */
public final class OutcomeLedger {
  /** Decision on a request under a key. */
  public sealed interface Admission {
    /** Execute it, then call {@link OutcomeLedger#finish}. */
    record Execute() implements Admission {}

    /** The outcome of the key is already known. */
    record Known(KeyOutcome outcome) implements Admission {}

    /** Another request under the same key is being executed; its result is shared. */
    record Join(CompletableFuture<KeyOutcome> result) implements Admission {}

    /** The key was used for a different request. */
    record Mismatch() implements Admission {}
  }

  /**
   * A key with its outcome, as written to records.
   *
   * @param key the key, prefixed by its service
   * @param fingerprint digest of the request
   * @param outcome outcome of the key
   */
  public record Finished(String key, String fingerprint, KeyOutcome outcome) {}

  private static final class Entry {
    private final String fingerprint;
    private final long expiresNanos;
    private final AtomicReference<CompletableFuture<KeyOutcome>> run =
        new AtomicReference<>(new CompletableFuture<>());

    private Entry(String fingerprint, long expiresNanos) {
      this.fingerprint = fingerprint;
      this.expiresNanos = expiresNanos;
    }
  }

  /**
   * Maximum number of finished keys kept for the next outcome record; while the store is
   * unavailable, further ones are dropped.
   */
  private static final int MAX_UNRECORDED = 200_000;

  /**
   * Lower than the number of any attempt, so that requests that joined a withdrawn run may begin
   * again.
   */
  private static final int NO_ATTEMPT = -1;

  private final Clocks clocks;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<Finished> unrecorded = new ConcurrentLinkedQueue<>();
  private final java.util.concurrent.atomic.AtomicInteger unrecordedSize =
      new java.util.concurrent.atomic.AtomicInteger();

  public OutcomeLedger(Clocks clocks) {
    this.clocks = clocks;
  }

  /**
   * Decides what to do with a request under a key.
   *
   * @param attempt number of the attempt; after a rejection only a later attempt may run
   */
  public Admission begin(String key, String fingerprint, long retentionSeconds, int attempt) {
    long expires = clocks.nanos() + TimeUnit.SECONDS.toNanos(retentionSeconds);
    Entry fresh = new Entry(fingerprint, expires);
    Entry entry = entries.putIfAbsent(key, fresh);
    if (entry == null) {
      return new Admission.Execute();
    }
    if (!entry.fingerprint.equals(fingerprint)) {
      return new Admission.Mismatch();
    }
    CompletableFuture<KeyOutcome> run = entry.run.get();
    if (!run.isDone()) {
      return new Admission.Join(run);
    }
    KeyOutcome outcome = run.join();
    if (!(outcome instanceof KeyOutcome.NotExecuted rejected && rejected.permits(attempt))) {
      return new Admission.Known(outcome);
    }
    CompletableFuture<KeyOutcome> next = new CompletableFuture<>();
    // Exactly one of several concurrent retries wins the swap; the others join its run.
    return entry.run.compareAndSet(run, next)
        ? new Admission.Execute()
        : new Admission.Join(entry.run.get());
  }

  /** Finishes the run that {@link #begin} allowed. */
  public void finish(String key, KeyOutcome outcome) {
    Entry entry = entries.get(key);
    if (entry == null) {
      throw new IllegalStateException("finish was called without begin for key " + key);
    }
    if (unrecordedSize.get() < MAX_UNRECORDED) {
      unrecorded.add(new Finished(key, entry.fingerprint, outcome));
      unrecordedSize.incrementAndGet();
    }
    entry.run.get().complete(outcome);
  }

  /**
   * Removes the run of a key that another incarnation turned out to hold; it leaves no record here.
   */
  public void withdraw(String key) {
    Entry entry = entries.remove(key);
    if (entry != null) {
      entry.run.get().complete(new KeyOutcome.NotExecuted(NO_ATTEMPT));
    }
  }

  /** Returns the outcome of a key as known here, if any. */
  public Optional<KeyOutcome> outcome(String key) {
    Entry entry = entries.get(key);
    return entry == null
        ? Optional.empty()
        : Optional.of(entry.run.get().getNow(new KeyOutcome.Running()));
  }

  /** Removes and returns finished keys that are in no record yet, up to a limit. */
  public List<Finished> pollUnrecorded(int limit) {
    List<Finished> taken = new ArrayList<>();
    for (int i = 0; i < limit; i++) {
      Finished next = unrecorded.poll();
      if (next == null) {
        break;
      }
      unrecordedSize.decrementAndGet();
      taken.add(next);
    }
    return taken;
  }

  /** Puts back finished keys that could not be recorded. */
  public void requeue(List<Finished> taken) {
    unrecorded.addAll(taken);
    unrecordedSize.addAndGet(taken.size());
  }

  /** Removes finished keys past their retention; called periodically. */
  public void expire() {
    long now = clocks.nanos();
    entries.values().removeIf(entry -> now - entry.expiresNanos > 0 && entry.run.get().isDone());
  }

  /** Returns the number of keys. */
  public int size() {
    return entries.size();
  }

  /** Returns the number of keys that are being executed. */
  public long running() {
    return entries.values().stream().filter(entry -> !entry.run.get().isDone()).count();
  }
}
