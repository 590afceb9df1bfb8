package org.magnoliaswitch.core.process;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.peer.PeerClient;
import org.magnoliaswitch.core.peer.PeerMessage;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.version.Digest;
import org.magnoliaswitch.core.version.Manifest;
import org.magnoliaswitch.core.version.Snapshot;

/**
 * Fetches newer versions of the configuration, from the peers that announce them or from the store.
 */
public final class ConfigurationFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int FETCH_TIMEOUT_MILLIS = 2_000;

  private final CurrentVersion current;
  private final ContentCache cache;
  private final ConfigurationStore store;
  private final PeerClient peers;

  public ConfigurationFollower(
      CurrentVersion current, ContentCache cache, ConfigurationStore store, PeerClient peers) {
    this.current = current;
    this.cache = cache;
    this.store = store;
    this.peers = peers;
  }

  /** Source of contents by digest. */
  private interface Source {
    Map<String, byte[]> fetch(List<String> digests) throws IOException, PlatformException;
  }

  /** Adopts the version that a peer announces if it is newer; returns whether it was adopted. */
  public boolean followPeer(Address peer, long version, String manifest) {
    return follow(version, manifest, digests -> fromPeer(peer, digests));
  }

  /**
   * Reads the head and adopts its version if it is newer; returns whether it was adopted. A head
   * that is older than the version in force has been lost by the platform and is written again.
   */
  public boolean followStore() throws PlatformException {
    ConfigurationStore.Head head = store.head();
    Snapshot inForce = current.get();
    if (head.version() < inForce.version()) {
      reinstate(inForce);
    }
    return follow(head.version(), head.manifest(), this::fromStore);
  }

  private void reinstate(Snapshot inForce) throws PlatformException {
    String digest = inForce.digest();
    try {
      Manifest manifest = current.manifest(digest);
      List<String> digests = new ArrayList<>(manifest.parts().values());
      digests.add(digest);
      Map<String, byte[]> contents = cache.select(digests);
      ConfigurationStore.Head head = new ConfigurationStore.Head(inForce.version(), digest);
      if (contents.keySet().containsAll(digests) && store.reinstate(head, manifest, contents)) {
        logger.atWarning().log("event=head_reinstated version=%d", inForce.version());
      }
    } catch (IOException e) {
      logger.atWarning().log("event=head_not_reinstated version=%d cause=%s", inForce.version(), e);
    }
  }

  private synchronized boolean follow(long version, String manifest, Source source) {
    if (!current.shouldFetch(version, manifest)) {
      return false;
    }
    try {
      if (cache.get(manifest).isEmpty()) {
        cacheVerified(source.fetch(List.of(manifest)), List.of(manifest));
      }
      List<String> missing = current.missingParts(manifest);
      if (!missing.isEmpty()) {
        cacheVerified(source.fetch(missing), missing);
      }
      return current.adopt(manifest);
    } catch (IOException | PlatformException e) {
      logger.atFine().log("event=version_fetch_failed version=%d cause=%s", version, e);
      return false;
    }
  }

  private void cacheVerified(Map<String, byte[]> contents, List<String> wanted) throws IOException {
    for (String digest : wanted) {
      byte[] content = contents.get(digest);
      // The digest is verified, so that corrupted content of a peer does not spread.
      if (content == null || !Digest.of(content).equals(digest)) {
        throw new IOException("content " + digest + " is not there");
      }
      cache.put(content);
    }
  }

  private Map<String, byte[]> fromPeer(Address peer, List<String> digests) throws IOException {
    PeerMessage reply =
        peers.call(peer, new PeerMessage.FetchContent(digests), FETCH_TIMEOUT_MILLIS);
    return reply instanceof PeerMessage.Content content ? content.byDigest() : Map.of();
  }

  private Map<String, byte[]> fromStore(List<String> digests) throws PlatformException {
    List<byte[]> contents = new ArrayList<>();
    for (String digest : digests) {
      Optional<byte[]> content = store.content(digest);
      content.ifPresent(contents::add);
    }
    return contents.stream()
        .collect(java.util.stream.Collectors.toMap(Digest::of, c -> c, (a, b) -> a));
  }
}
