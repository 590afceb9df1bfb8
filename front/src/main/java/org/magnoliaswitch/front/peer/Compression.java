package org.magnoliaswitch.front.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import java.util.zip.ZipException;

/**
 * Compression of large messages. It pays off because configurations and server lists repeat the
 * same words in each entry.
 */
final class Compression {
  /** Limit of decompressed content, which bounds the memory that one message can allocate. */
  static final int MAX_BYTES = 32 << 20;

  private Compression() {}

  static byte[] compress(byte[] content) {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    try (DeflaterOutputStream out = new DeflaterOutputStream(compressed)) {
      out.write(content);
    } catch (IOException e) {
      throw new IllegalStateException("cannot compress the content", e);
    }
    return compressed.toByteArray();
  }

  /**
   * Reverses {@link #compress}.
   *
   * @throws IOException if the content is malformed or too long
   */
  static byte[] decompress(byte[] compressed) throws IOException {
    try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
      byte[] content = in.readNBytes(MAX_BYTES + 1);
      if (content.length > MAX_BYTES) {
        throw new IOException("decompressed content exceeds the size limit");
      }
      return content;
    } catch (ZipException | EOFException e) {
      throw new IOException("malformed compressed content", e);
    }
  }
}
