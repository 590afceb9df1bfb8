package org.magnoliaswitch.core.version;

import com.google.common.hash.Hashing;

/** SHA-256 digests by which content is addressed. */
public final class Digest {
  private Digest() {}

  /** The digest in lower-case hex, 64 characters. */
  public static String of(byte[] content) {
    return Hashing.sha256().hashBytes(content).toString();
  }
}
