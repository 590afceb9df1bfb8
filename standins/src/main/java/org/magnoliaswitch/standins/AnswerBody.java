package org.magnoliaswitch.standins;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Answer bodies that can be checked: the operation's id, the length and a filler made of the id.
 */
public final class AnswerBody {
  private AnswerBody() {}

  /** The body for an operation, of at least the given size. */
  public static byte[] of(String operation, int size) {
    String head = "operation=" + operation + " size=" + size + "\n";
    byte[] start = head.getBytes(StandardCharsets.UTF_8);
    byte[] body = new byte[Math.max(size, start.length)];
    byte filler = (byte) ('a' + Math.floorMod(Hashing.crc32().hashBytes(start).asInt(), 26));
    Arrays.fill(body, filler);
    System.arraycopy(start, 0, body, 0, start.length);
    body[body.length - 1] = '\n';
    return body;
  }

  /** Whether a body is the whole one of an operation. */
  public static boolean isComplete(String operation, int size, byte[] body) {
    return Arrays.equals(of(operation, size), body);
  }
}
