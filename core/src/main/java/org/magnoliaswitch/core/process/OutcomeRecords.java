package org.magnoliaswitch.core.process;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
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
 * Outcomes in the object store, which other instances read after their incarnation is gone.
 *
 * <p>Each incarnation appends numbered segments, with one write for all keys finished since the
 * previous segment. They are named by incarnation, so the object store's own life-cycle rule can
 * expire them by age without further writes. A final segment, written on an orderly stop, states
 * that the incarnation executed nothing else and never will. It names the number of segments: if
 * the object store was restored from a copy that lacks some of them, keys without a record may have
 * been executed.
 */
public final class OutcomeRecords {
  private static final int MAX_PER_SEGMENT = 5_000;
  private static final int MAX_CACHED_INCARNATIONS = 64;
  private static final long REFRESH_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final String FINAL_SEGMENT = "last";

  /** JSON value of a final segment; earlier releases wrote an empty list instead. */
  private record FinalSegment(int segments) {}

  /**
   * Result of looking a key up in the records of an incarnation.
   *
   * @param finished record of the key, if there is one
   * @param complete whether the incarnation stopped orderly, so that a key without a record was not
   *     executed
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

  /** Writes a segment of the keys finished since the previous one; returns the number of keys. */
  public synchronized int flush(OutcomeLedger ledger) throws PlatformException {
    List<OutcomeLedger.Finished> finished = ledger.pollUnrecorded(MAX_PER_SEGMENT);
    if (finished.isEmpty()) {
      return 0;
    }
    try {
      objects.put(
          name(incarnation, String.valueOf(written.get())), encode(withoutLargeBodies(finished)));
      written.incrementAndGet();
      return finished.size();
    } catch (PlatformException e) {
      ledger.requeue(finished);
      throw e;
    }
  }

  /** Writes the remaining keys and the final segment, after which nothing follows. */
  public synchronized void close(OutcomeLedger ledger) throws PlatformException {
    int flushed = flush(ledger);
    while (flushed > 0) {
      flushed = flush(ledger);
    }
    objects.put(name(incarnation, FINAL_SEGMENT), encode(new FinalSegment(written.get())));
  }

  /** Returns the number of segments written so far. */
  public int segments() {
    return written.get();
  }

  /** Looks a key up in the records of another incarnation, which is gone. */
  public synchronized Lookup lookup(String goneIncarnation, String key) throws PlatformException {
    CachedIncarnation cached = cache.computeIfAbsent(goneIncarnation, i -> new CachedIncarnation());
    long now = clocks.nanos();
    boolean due = cached.readNanos == 0 || now - cached.readNanos > REFRESH_NANOS;
    if (!cached.complete && due) {
      read(goneIncarnation, cached);
      cached.readNanos = now;
    }
    return new Lookup(Optional.ofNullable(cached.byKey.get(key)), cached.complete);
  }

  private void read(String goneIncarnation, CachedIncarnation cached) throws PlatformException {
    Optional<byte[]> last = objects.get(name(goneIncarnation, FINAL_SEGMENT));
    Optional<byte[]> segment =
        objects.get(name(goneIncarnation, String.valueOf(cached.nextSegment)));
    while (segment.isPresent()) {
      for (OutcomeLedger.Finished finished : decode(segment.get())) {
        cached.byKey.put(finished.key(), finished);
      }
      cached.nextSegment++;
      segment = objects.get(name(goneIncarnation, String.valueOf(cached.nextSegment)));
    }
    cached.complete = last.isPresent() && cached.nextSegment >= requiredSegments(last.get());
  }

  private static int requiredSegments(byte[] last) throws PlatformException {
    try {
      JsonNode content = Json.MAPPER.readTree(last);
      return content.isArray()
          ? 0
          : Json.MAPPER.treeToValue(content, FinalSegment.class).segments();
    } catch (IOException e) {
      throw new PlatformException("a final outcome segment cannot be read as JSON", e);
    }
  }

  private static String name(String incarnation, String segment) {
    return "outcomes/" + incarnation + '/' + segment;
  }

  private static List<OutcomeLedger.Finished> withoutLargeBodies(
      List<OutcomeLedger.Finished> finished) {
    List<OutcomeLedger.Finished> bounded = new ArrayList<>();
    finished.forEach(entry -> bounded.add(withoutLargeBody(entry)));
    return bounded;
  }

  private static byte[] encode(Object segment) {
    try {
      return Json.MAPPER.writeValueAsBytes(segment);
    } catch (IOException e) {
      throw new IllegalStateException("outcomes cannot be written as JSON", e);
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
      throw new PlatformException("an outcome segment cannot be read as JSON", e);
    }
  }
}
