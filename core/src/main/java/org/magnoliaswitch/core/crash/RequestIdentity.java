package org.magnoliaswitch.core.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * What a request is, whichever try, connection or instance brings it: the first 128 bits of a
 * SHA-256 over its parts, of which the last tells whether its caller is one of them.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
public record RequestIdentity(long high, long low) {
  /**
   * Bytes of a body that count, besides its length. A body of many megabytes would stop all other
   * requests for as long as it is hashed.
   */
  private static final int MAX_BODY_BYTES = 64 << 10;

  private static final long CALLER_BIT = 1;
  private static final int HEX_DIGITS = 32;
  private static final HexFormat HEX = HexFormat.of();

  /**
   * Identifies a request by what it asks for, whoever brings it: the same request may come from
   * several addresses, through several gateways.
   *
   * @param target path and query as the caller wrote them
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
   * Narrows an identity down to one caller, since servers may end under what one asks for and
   * answer the same to others.
   *
   * @param caller address of the caller without its port, which is new with each connection
   */
  public RequestIdentity forCaller(String caller) {
    MessageDigest digest = sha256();
    digest.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(high).putLong(low).flip());
    digest.update(caller.getBytes(StandardCharsets.UTF_8));
    return of(digest, CALLER_BIT);
  }

  private static RequestIdentity of(MessageDigest digest, long lastBit) {
    ByteBuffer hash = ByteBuffer.wrap(digest.digest());
    return new RequestIdentity(hash.getLong(), (hash.getLong() & ~CALLER_BIT) | lastBit);
  }

  /** Whether this is a request of one caller alone. */
  public boolean callerSpecific() {
    return (low & CALLER_BIT) != 0;
  }

  /**
   * Reads what {@link #toString} wrote; {@link IllegalArgumentException} if it is anything else.
   */
  public static RequestIdentity parse(String hex) {
    if (hex.length() != HEX_DIGITS) {
      throw new IllegalArgumentException("an identity has " + HEX_DIGITS + " digits");
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
