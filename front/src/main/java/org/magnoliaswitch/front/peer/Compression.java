package org.magnoliaswitch.front.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import java.util.zip.ZipException;

/** Compresses what is long: configurations and lists repeat the same words in each entry. */
final class Compression {
  /** Longer content must not be given memory. */
  static final int MAX_BYTES = 32 << 20;

  private Compression() {}

  static byte[] deflated(byte[] content) {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    try (DeflaterOutputStream out = new DeflaterOutputStream(compressed)) {
      out.write(content);
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory does not fail", e);
    }
    return compressed.toByteArray();
  }

  /** Reads what was compressed; anything malformed is an {@link IOException}. */
  static byte[] inflated(byte[] compressed) throws IOException {
    try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
      byte[] content = in.readNBytes(MAX_BYTES + 1);
      if (content.length > MAX_BYTES) {
        throw new IOException("compressed content is too long");
      }
      return content;
    } catch (ZipException | EOFException e) {
      throw new IOException("malformed compressed content", e);
    }
  }
}
