package org.magnoliaswitch.core.process;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.platform.ObjectStore;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.version.Json;

/**
 * Outcomes in the object store, for the time when their incarnation is gone.
 *
 * <p>Each incarnation appends numbered segments, one write for all keys finished since the last.
 * They are named by incarnation, so expiry by age is the object store's own life-cycle rule and
 * needs no writes of ours. A last segment, written on an orderly stop, says that nothing else was
 * or will be executed by the incarnation.
 */
public final class OutcomeRecords {
  private static final int MAX_PER_SEGMENT = 5_000;
  private static final int MAX_CACHED_INCARNATIONS = 64;
  private static final long REFRESH_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final String FINAL_SEGMENT = "last";

  /**
   * What the records of an incarnation say of a key.
   *
   * @param finished the key's record, if there is one
   * @param complete whether the incarnation stopped in order, so that absence means not executed
   */
  public record Lookup(Optional<OutcomeLedger.Finished> finished, boolean complete) {}

  private static final class CachedIncarnation {
    private final Map<String, OutcomeLedger.Finished> byKey = new HashMap<>();
    private int nextSegment;
    private boolean complete;
    private long readNanos;
  }

  private final ObjectStore objects;
  private final Clocks clocks;
  private final String incarnation;
  private final AtomicInteger written = new AtomicInteger();
  private final Map<String, CachedIncarnation> cache =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, CachedIncarnation> eldest) {
          return size() > MAX_CACHED_INCARNATIONS;
        }
      };

  public OutcomeRecords(ObjectStore objects, String incarnation, Clocks clocks) {
    this.objects = objects;
    this.incarnation = incarnation;
    this.clocks = clocks;
  }

  /** Writes what the ledger finished since the last segment; returns how many keys. */
  public synchronized int flush(OutcomeLedger ledger) throws PlatformException {
    List<OutcomeLedger.Finished> finished = ledger.pollUnrecorded(MAX_PER_SEGMENT);
    if (finished.isEmpty()) {
      return 0;
    }
    try {
      objects.put(name(incarnation, String.valueOf(written.get())), encode(finished));
      written.incrementAndGet();
      return finished.size();
    } catch (PlatformException e) {
      ledger.requeue(finished);
      throw e;
    }
  }

  /** Writes all that is left and the mark that nothing follows. */
  public synchronized void close(OutcomeLedger ledger) throws PlatformException {
    int flushed = flush(ledger);
    while (flushed > 0) {
      flushed = flush(ledger);
    }
    objects.put(name(incarnation, FINAL_SEGMENT), encode(List.of()));
  }

  /** Segments written so far. */
  public int segments() {
    return written.get();
  }

  /** Reads the records of another incarnation, which is gone. */
  public synchronized Lookup lookup(String gone, String key) throws PlatformException {
    CachedIncarnation cached = cache.computeIfAbsent(gone, i -> new CachedIncarnation());
    long now = clocks.nanos();
    boolean due = cached.readNanos == 0 || now - cached.readNanos > REFRESH_NANOS;
    if (!cached.complete && due) {
      read(gone, cached);
      cached.readNanos = now;
    }
    return new Lookup(Optional.ofNullable(cached.byKey.get(key)), cached.complete);
  }

  private void read(String gone, CachedIncarnation cached) throws PlatformException {
    boolean last = objects.get(name(gone, FINAL_SEGMENT)).isPresent();
    Optional<byte[]> segment = objects.get(name(gone, String.valueOf(cached.nextSegment)));
    while (segment.isPresent()) {
      for (OutcomeLedger.Finished finished : decode(segment.get())) {
        cached.byKey.put(finished.key(), finished);
      }
      cached.nextSegment++;
      segment = objects.get(name(gone, String.valueOf(cached.nextSegment)));
    }
    cached.complete = last;
  }

  private static String name(String incarnation, String segment) {
    return "outcomes/" + incarnation + '/' + segment;
  }

  private static byte[] encode(List<OutcomeLedger.Finished> finished) {
    try {
      List<OutcomeLedger.Finished> bounded = new ArrayList<>();
      finished.forEach(entry -> bounded.add(withoutLargeBody(entry)));
      return Json.MAPPER.writeValueAsBytes(bounded);
    } catch (IOException e) {
      throw new IllegalStateException("outcomes are always writable as JSON", e);
    }
  }

  private static OutcomeLedger.Finished withoutLargeBody(OutcomeLedger.Finished finished) {
    boolean large =
        finished.outcome() instanceof KeyOutcome.Executed executed
            && executed.answer().map(a -> a.body().length > StoredAnswer.MAX_BODY).orElse(false);
    return large
        ? new OutcomeLedger.Finished(
            finished.key(), finished.fingerprint(), new KeyOutcome.Executed(Optional.empty()))
        : finished;
  }

  private static List<OutcomeLedger.Finished> decode(byte[] segment) throws PlatformException {
    try {
      return Json.MAPPER.readValue(segment, new TypeReference<List<OutcomeLedger.Finished>>() {});
    } catch (IOException e) {
      throw new PlatformException("unreadable outcome segment", e);
    }
  }
}
