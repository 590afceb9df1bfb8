package org.magnoliaswitch.standins;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Answer bodies that a caller can verify: the operation's id, the size and a filler character
 * derived from both.
 */
public final class AnswerBody {
  private AnswerBody() {}

  /**
   * Returns the body for an operation. It is longer than {@code size} if the first line needs more
   * bytes.
   */
  public static byte[] of(String operation, int size) {
    String firstLine = "operation=" + operation + " size=" + size + "\n";
    byte[] prefix = firstLine.getBytes(StandardCharsets.UTF_8);
    byte[] body = new byte[Math.max(size, prefix.length)];
    byte filler = (byte) ('a' + Math.floorMod(Hashing.crc32().hashBytes(prefix).asInt(), 26));
    Arrays.fill(body, filler);
    System.arraycopy(prefix, 0, body, 0, prefix.length);
    body[body.length - 1] = '\n';
    return body;
  }

  /** Returns whether a body is the complete and unchanged body of an operation. */
  public static boolean isComplete(String operation, int size, byte[] body) {
    return Arrays.equals(of(operation, size), body);
  }
}
