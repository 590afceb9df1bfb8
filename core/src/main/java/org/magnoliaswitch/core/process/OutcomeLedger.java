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
 * The keys that this incarnation has begun to execute, in memory.
 *
 * <p>A key moves from running to one of three outcomes. Only {@link KeyOutcome.NotExecuted} leads
 * back to running, so a refused or expired request does not spoil its key, and a request that may
 * have reached a server is never sent again.
 */
public final class OutcomeLedger {
  /** What a request under a key has to do. */
  public sealed interface Admission {
    /** Execute it, then call {@link OutcomeLedger#finish}. */
    record Execute() implements Admission {}

    /** It is known already. */
    record Known(KeyOutcome outcome) implements Admission {}

    /** Another request under the same key is at work. */
    record Join(CompletableFuture<KeyOutcome> result) implements Admission {}

    /** The key was used for another request. */
    record Mismatch() implements Admission {}
  }

  /**
   * A key with its outcome, as it goes into records.
   *
   * @param key the key, prefixed by its service
   * @param fingerprint digest of the request
   * @param outcome what became of it
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

  /** Finished keys kept for the next outcome record; more are dropped while the store is out. */
  private static final int MAX_UNRECORDED = 200_000;

  /** Lower than any attempt: whoever joined a withdrawn run asks anew. */
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
   * Asks what to do with a request under a key.
   *
   * @param attempt number of the attempt; after a refusal only a later one may run
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
    if (!(outcome instanceof KeyOutcome.NotExecuted refused && refused.permits(attempt))) {
      return new Admission.Known(outcome);
    }
    CompletableFuture<KeyOutcome> next = new CompletableFuture<>();
    // Exactly one of several retries wins the swap; the others join its run.
    return entry.run.compareAndSet(run, next)
        ? new Admission.Execute()
        : new Admission.Join(entry.run.get());
  }

  /** Ends the run that {@link #begin} allowed. */
  public void finish(String key, KeyOutcome outcome) {
    Entry entry = entries.get(key);
    if (entry == null) {
      throw new IllegalStateException("finish without begin for key " + key);
    }
    if (unrecordedSize.get() < MAX_UNRECORDED) {
      unrecorded.add(new Finished(key, entry.fingerprint, outcome));
      unrecordedSize.incrementAndGet();
    }
    entry.run.get().complete(outcome);
  }

  /** Ends a run of a key that another incarnation turned out to hold; it leaves no record here. */
  public void withdraw(String key) {
    Entry entry = entries.remove(key);
    if (entry != null) {
      entry.run.get().complete(new KeyOutcome.NotExecuted(NO_ATTEMPT));
    }
  }

  /** What is known of a key here. */
  public Optional<KeyOutcome> outcome(String key) {
    Entry entry = entries.get(key);
    return entry == null
        ? Optional.empty()
        : Optional.of(entry.run.get().getNow(new KeyOutcome.Running()));
  }

  /** Takes finished keys that no record holds yet, at most some. */
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

  /** Puts back what could not be recorded. */
  public void requeue(List<Finished> taken) {
    unrecorded.addAll(taken);
    unrecordedSize.addAndGet(taken.size());
  }

  /** Forgets finished keys past their retention; called now and then. */
  public void expire() {
    long now = clocks.nanos();
    entries.values().removeIf(entry -> now - entry.expiresNanos > 0 && entry.run.get().isDone());
  }

  /** Keys held. */
  public int size() {
    return entries.size();
  }

  /** Keys at work now. */
  public long running() {
    return entries.values().stream().filter(entry -> !entry.run.get().isDone()).count();
  }
}
