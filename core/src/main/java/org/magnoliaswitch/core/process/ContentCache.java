package org.magnoliaswitch.core.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliaswitch.core.version.Digest;

/** Contents of the configuration versions that peers may request, by digest. */
public final class ContentCache {
  private final Map<String, byte[]> byDigest = new ConcurrentHashMap<>();

  /** Stores a content and returns its digest. */
  public String put(byte[] content) {
    String digest = Digest.of(content);
    byDigest.put(digest, content);
    return digest;
  }

  /** Returns the content with the given digest. */
  public Optional<byte[]> get(String digest) {
    return Optional.ofNullable(byDigest.get(digest));
  }

  /** Returns those of the requested contents that are cached. */
  public Map<String, byte[]> select(Collection<String> digests) {
    Map<String, byte[]> found = new HashMap<>();
    digests.forEach(digest -> get(digest).ifPresent(content -> found.put(digest, content)));
    return found;
  }

  /** Removes all contents except those with the given digests. */
  public void retain(Collection<String> digests) {
    byDigest.keySet().retainAll(digests);
  }

  /** Returns the total size of the contents in bytes. */
  public long size() {
    return byDigest.values().stream().mapToLong(content -> content.length).sum();
  }
}
