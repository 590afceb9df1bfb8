package org.magnoliaswitch.core.peer;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The secret that all entry instances share; it authenticates peers and issued idempotency keys.
 */
public final class PeerSecret {
  private static final int MIN_BYTES = 16;

  private final byte[] secret;

  public PeerSecret(byte[] secret) {
    if (secret.length < MIN_BYTES) {
      throw new IllegalArgumentException(
          "the peer secret must have at least " + MIN_BYTES + " bytes");
    }
    this.secret = secret.clone();
  }

  /** Returns the HMAC-SHA-256 of a text. */
  public byte[] sign(String text) {
    return Hashing.hmacSha256(secret).hashString(text, StandardCharsets.UTF_8).asBytes();
  }

  /** Whether the signature is that of the text; compares in constant time. */
  public boolean matches(String text, byte[] signature) {
    return MessageDigest.isEqual(sign(text), signature);
  }
}
