package org.magnoliaswitch.front.peer;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.peer.CrashReportCodec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes {@link ListenerUpdate} as MessagePack. Instances of an earlier release write
 * only the crash reports, and ignore the fields after them when reading.
 */
final class ListenerUpdateCodec {
  private static final List<HeldConfiguration.Delivery> DELIVERIES =
      List.of(
          HeldConfiguration.Delivery.FIRST,
          HeldConfiguration.Delivery.IMMEDIATE,
          HeldConfiguration.Delivery.DEFERRED);

  private ListenerUpdateCodec() {}

  static byte[] encode(ListenerUpdate update) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      CrashReportCodec.write(out, update.crashes());
      if (update.held().isPresent()) {
        HeldConfiguration held = update.held().get();
        out.packLong(held.version());
        out.packLong(held.lastUpdate());
        out.packInt(DELIVERIES.indexOf(held.delivery()));
      }
      if (update.forwarded().isPresent()) {
        byte[] forwarded = Compression.compress(PeerUpdateCodec.encode(update.forwarded().get()));
        out.packBinaryHeader(forwarded.length);
        out.writePayload(forwarded);
      } else if (update.teams().isPresent()) {
        out.packBinaryHeader(0);
      }
      if (update.teams().isPresent()) {
        TeamMessageCodec.write(out, update.teams().get());
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the listener update", e);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws IOException if the message is malformed
   */
  static ListenerUpdate decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      List<CrashReport> crashes = CrashReportCodec.read(in);
      Optional<HeldConfiguration> held = in.hasNext() ? Optional.of(held(in)) : Optional.empty();
      Optional<PeerUpdate> forwarded =
          in.hasNext() ? forwarded(in, bytes.length) : Optional.empty();
      Optional<TeamReport> teams =
          in.hasNext() ? Optional.of(TeamMessageCodec.readReport(in)) : Optional.empty();
      return new ListenerUpdate(crashes, held, forwarded, teams);
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new IOException("malformed listener update", e);
    }
  }

  private static Optional<PeerUpdate> forwarded(MessageUnpacker in, int messageLength)
      throws IOException {
    int length = in.unpackBinaryHeader();
    if (length == 0) {
      return Optional.empty();
    }
    if (length > messageLength) {
      throw new IOException(
          "forwarded update of " + length + " bytes exceeds the length of its message");
    }
    return Optional.of(PeerUpdateCodec.decode(Compression.decompress(in.readPayload(length))));
  }

  private static HeldConfiguration held(MessageUnpacker in) throws IOException {
    long version = in.unpackLong();
    long lastUpdate = in.unpackLong();
    int delivery = in.unpackInt();
    if (delivery < 0 || delivery >= DELIVERIES.size()) {
      throw new IOException("delivery code " + delivery + " is unknown");
    }
    return new HeldConfiguration(version, lastUpdate, DELIVERIES.get(delivery));
  }
}
