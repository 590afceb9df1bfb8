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
 * <p>It is replaced as a whole and its version number only increases: an older version that arrives
 * late, from a lagging peer or from the store, is ignored.
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

  /** Returns the snapshot in force. */
  public Snapshot get() {
    return current.get();
  }

  /** Adds a listener that is called after each replacement. */
  public void addListener(Consumer<Snapshot> listener) {
    listeners.add(listener);
  }

  /** Returns whether a version is newer than the one in force and was not rejected. */
  public boolean shouldFetch(long version, String manifestDigest) {
    return version > current.get().version() && !manifestDigest.equals(rejectedDigest.get());
  }

  /**
   * Returns the digests of a manifest's parts that are not cached yet; the manifest itself must be
   * cached.
   */
  public List<String> missingParts(String manifestDigest) throws IOException {
    List<String> missing = new ArrayList<>(manifest(manifestDigest).parts().values());
    missing.removeIf(digest -> cache.get(digest).isPresent());
    return missing;
  }

  /** Reads a cached manifest. */
  public Manifest manifest(String manifestDigest) throws IOException {
    byte[] content =
        cache.get(manifestDigest).orElseThrow(() -> new IOException("manifest not held"));
    return Json.MAPPER.readValue(content, Manifest.class);
  }

  /**
   * Puts a version into force whose contents are all cached.
   *
   * @return whether the version was put into force
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
      List<String> retained = new ArrayList<>(manifest.parts().values());
      retained.add(manifestDigest);
      cache.retain(retained);
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
