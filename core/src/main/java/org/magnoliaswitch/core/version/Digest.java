package org.magnoliaswitch.core.version;

import com.google.common.hash.Hashing;

/** Computes the SHA-256 digests by which content is addressed. */
public final class Digest {
  private Digest() {}

  /** Returns the digest as 64 lower-case hexadecimal characters. */
  public static String of(byte[] content) {
    return Hashing.sha256().hashBytes(content).toString();
  }
}
