package org.magnoliaswitch.core.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * Identifies a request independently of the attempt, connection or instance that carries it: the
 * first 128 bits of a SHA-256 over its parts. The last bit tells whether the caller is one of the
 * parts.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
public record RequestIdentity(long high, long low) {
  /**
   * Maximum number of body bytes that are hashed; the length of the body is always included.
   * Hashing a body of many megabytes would block all other requests.
   */
  private static final int MAX_BODY_BYTES = 64 << 10;

  private static final long CALLER_SPECIFIC_BIT = 1;
  private static final int HEX_DIGITS = 32;
  private static final HexFormat HEX = HexFormat.of();

  /**
   * Identifies a request by its content, independently of its caller: the same request may come
   * from several addresses, through several gateways.
   *
   * @param target path and query as sent by the caller
   */
  public static RequestIdentity ofContent(String method, String host, String target, byte[] body) {
    MessageDigest digest = sha256();
    for (String part : List.of(method, host, target)) {
      byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
      digest.update(bytes);
    }
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(body.length).flip());
    digest.update(body, 0, Math.min(body.length, MAX_BODY_BYTES));
    return of(digest, 0);
  }

  /**
   * Restricts an identity to one caller, because servers may crash on a request of one caller and
   * answer the same request of others.
   *
   * @param caller address of the caller without its port, which changes with each connection
   */
  public RequestIdentity forCaller(String caller) {
    MessageDigest digest = sha256();
    digest.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(high).putLong(low).flip());
    digest.update(caller.getBytes(StandardCharsets.UTF_8));
    return of(digest, CALLER_SPECIFIC_BIT);
  }

  private static RequestIdentity of(MessageDigest digest, long lastBit) {
    ByteBuffer hash = ByteBuffer.wrap(digest.digest());
    return new RequestIdentity(hash.getLong(), (hash.getLong() & ~CALLER_SPECIFIC_BIT) | lastBit);
  }

  /** Whether the identity is restricted to one caller. */
  public boolean callerSpecific() {
    return (low & CALLER_SPECIFIC_BIT) != 0;
  }

  /**
   * Parses the output of {@link #toString}; throws {@link IllegalArgumentException} for any other
   * text.
   */
  public static RequestIdentity parse(String hex) {
    if (hex.length() != HEX_DIGITS) {
      throw new IllegalArgumentException(
          "a request identity must have " + HEX_DIGITS + " hexadecimal digits");
    }
    ByteBuffer bytes = ByteBuffer.wrap(HEX.parseHex(hex));
    return new RequestIdentity(bytes.getLong(), bytes.getLong());
  }

  @Override
  public String toString() {
    return HEX.toHexDigits(high) + HEX.toHexDigits(low);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
