package org.magnoliaswitch.core.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliaswitch.core.version.Digest;

/** Contents of the configuration versions an instance may be asked for, by digest. */
public final class ContentCache {
  private final Map<String, byte[]> byDigest = new ConcurrentHashMap<>();

  /** Keeps a content and returns its digest. */
  public String put(byte[] content) {
    String digest = Digest.of(content);
    byDigest.put(digest, content);
    return digest;
  }

  /** The content of a digest. */
  public Optional<byte[]> get(String digest) {
    return Optional.ofNullable(byDigest.get(digest));
  }

  /** The contents held out of those asked for. */
  public Map<String, byte[]> select(Collection<String> digests) {
    Map<String, byte[]> found = new HashMap<>();
    digests.forEach(digest -> get(digest).ifPresent(content -> found.put(digest, content)));
    return found;
  }

  /** Drops everything but the given digests. */
  public void retain(Collection<String> digests) {
    byDigest.keySet().retainAll(digests);
  }

  /** Bytes held. */
  public long size() {
    return byDigest.values().stream().mapToLong(content -> content.length).sum();
  }
}
