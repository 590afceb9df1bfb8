package org.magnoliaswitch.front.testing;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Arrays;
import java.util.Random;

/** Messages that are cut short and have a wrong byte. */
public final class CorruptedMessages {
  private static final int COUNT = 5_000;

  /** Reads a message. */
  @FunctionalInterface
  public interface Decoder {
    /** Decodes a message; anything malformed is an {@link IOException}. */
    void decode(byte[] bytes) throws IOException;
  }

  private CorruptedMessages() {}

  /** Checks that a decoder reads or refuses whatever becomes of a message. */
  public static void assertDecodedOrRejected(byte[] good, long seed, Decoder decoder) {
    Random random = new Random(seed);
    for (int i = 0; i < COUNT; i++) {
      byte[] bad = Arrays.copyOf(good, 1 + random.nextInt(good.length));
      bad[random.nextInt(bad.length)] = (byte) random.nextInt();
      try {
        decoder.decode(bad);
      } catch (IOException e) {
        assertEquals(e.getClass(), IOException.class);
      }
    }
  }
}
