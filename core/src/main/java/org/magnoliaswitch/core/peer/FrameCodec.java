package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes and decodes the frames of the peer protocol: a 4-byte big-endian length, then one
 * MessagePack value.
 */
public final class FrameCodec {
  /** Maximum size of a frame in bytes. */
  public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  private static final ObjectMapper MAPPER =
      new MessagePackMapper()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  private FrameCodec() {}

  /** Encodes a message as the content of a frame. */
  public static byte[] encode(PeerMessage message) {
    try {
      return MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode the peer message", e);
    }
  }

  /** Decodes the content of a frame. */
  public static PeerMessage decode(byte[] frame) throws FrameException {
    try {
      checkComplete(frame);
      PeerMessage message = MAPPER.readValue(frame, PeerMessage.class);
      if (message == null) {
        throw new FrameException(FrameException.Reason.MALFORMED, "an empty message");
      }
      return message;
    } catch (FrameException e) {
      throw e;
    } catch (IOException | RuntimeException e) {
      throw new FrameException(FrameException.Reason.MALFORMED, e.toString());
    }
  }

  /**
   * Checks that the frame contains what its lengths claim. The mapper allocates what a length
   * claims before it reads the content.
   */
  private static void checkComplete(byte[] frame) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      unpacker.skipValue();
    }
  }

  /** Writes one frame with its length. */
  public static void write(DataOutputStream out, byte[] frame) throws IOException {
    out.writeInt(frame.length);
    out.write(frame);
    out.flush();
  }

  /** Reads one frame; the length is checked before memory is allocated. */
  public static byte[] read(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new FrameException(FrameException.Reason.OVERSIZE, "a frame of " + length + " bytes");
    }
    byte[] frame = in.readNBytes(length);
    if (frame.length < length) {
      throw new EOFException("the connection ended within a frame");
    }
    return frame;
  }
}
