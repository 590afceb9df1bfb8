package org.magnoliaswitch.front.testing;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Arrays;
import java.util.Random;

/** Checks decoders with messages that are truncated and have one random byte. */
public final class CorruptedMessages {
  private static final int REPETITIONS = 5_000;

  /** Decodes messages. */
  @FunctionalInterface
  public interface Decoder {
    /**
     * Decodes a message.
     *
     * @throws IOException if the message is malformed
     */
    void decode(byte[] bytes) throws IOException;
  }

  private CorruptedMessages() {}

  /** Asserts that a decoder decodes corrupted messages or rejects them with an IOException. */
  public static void assertDecodedOrRejected(byte[] valid, long seed, Decoder decoder) {
    Random random = new Random(seed);
    for (int i = 0; i < REPETITIONS; i++) {
      byte[] corrupted = Arrays.copyOf(valid, 1 + random.nextInt(valid.length));
      corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
      try {
        decoder.decode(corrupted);
      } catch (IOException e) {
        assertEquals(e.getClass(), IOException.class);
      }
    }
  }
}
