package org.magnoliaswitch.core.process;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.magnoliaswitch.core.version.InvalidDeclarationException;
import org.magnoliaswitch.core.version.Json;
import org.magnoliaswitch.core.version.Manifest;
import org.magnoliaswitch.core.version.Snapshot;
import org.magnoliaswitch.core.version.SnapshotParser;

/**
 * The configuration in force at this instance.
 *
 * <p>It is swapped as a whole and its number only rises: an older version that arrives late, from a
 * peer that lagged or from the store, changes nothing.
 */
public final class CurrentVersion {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ContentCache cache;
  private final Timeline timeline;
  private final AtomicReference<Snapshot> current = new AtomicReference<>(Snapshot.EMPTY);
  private final AtomicReference<String> rejectedDigest = new AtomicReference<>("");
  private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();

  public CurrentVersion(ContentCache cache, Timeline timeline) {
    this.cache = cache;
    this.timeline = timeline;
  }

  /** The snapshot in force. */
  public Snapshot get() {
    return current.get();
  }

  /** Calls a listener after every swap. */
  public void addListener(Consumer<Snapshot> listener) {
    listeners.add(listener);
  }

  /** Whether a version is news worth fetching. */
  public boolean shouldFetch(long version, String manifestDigest) {
    return version > current.get().version() && !manifestDigest.equals(rejectedDigest.get());
  }

  /** Digests of a manifest's parts that are not held yet; the manifest itself must be held. */
  public List<String> missingParts(String manifestDigest) throws IOException {
    List<String> missing = new ArrayList<>(manifest(manifestDigest).parts().values());
    missing.removeIf(digest -> cache.get(digest).isPresent());
    return missing;
  }

  /** Reads a held manifest. */
  public Manifest manifest(String manifestDigest) throws IOException {
    byte[] content =
        cache.get(manifestDigest).orElseThrow(() -> new IOException("manifest not held"));
    return Json.MAPPER.readValue(content, Manifest.class);
  }

  /**
   * Puts a version in force whose contents are all held.
   *
   * @return whether it is in force now
   */
  public synchronized boolean adopt(String manifestDigest) throws IOException {
    Manifest manifest = manifest(manifestDigest);
    if (!shouldFetch(manifest.version(), manifestDigest)) {
      return false;
    }
    Map<String, byte[]> parts = new HashMap<>();
    for (Map.Entry<String, String> part : manifest.parts().entrySet()) {
      parts.put(
          part.getKey(),
          cache.get(part.getValue()).orElseThrow(() -> new IOException("part not held")));
    }
    try {
      Snapshot next = SnapshotParser.parse(manifest.version(), manifestDigest, parts);
      current.set(next);
      List<String> keep = new ArrayList<>(manifest.parts().values());
      keep.add(manifestDigest);
      cache.retain(keep);
      timeline.record(
          EventKind.VERSION_IN_FORCE,
          "version=" + next.version() + " change=" + manifest.changeId());
      listeners.forEach(listener -> listener.accept(next));
      return true;
    } catch (InvalidDeclarationException e) {
      reject(manifest, manifestDigest, e);
      return false;
    }
  }

  private void reject(Manifest manifest, String digest, InvalidDeclarationException cause) {
    rejectedDigest.set(digest);
    timeline.record(EventKind.VERSION_REFUSED, "version=" + manifest.version());
    logger.atSevere().log(
        "event=version_refused version=%d kept=%d problems=%s",
        manifest.version(), current.get().version(), cause.problems());
  }
}
