package org.magnoliaswitch.front.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** The first message in each direction of a connection between two instances, as MessagePack. */
sealed interface RelayMessage {
  /**
   * Asks for a connection to a backend server.
   *
   * @param server id of the server
   * @param signals whether the sender understands {@link RelaySignal}; earlier releases do not
   */
  record Open(String server, boolean signals) implements RelayMessage {}

  /**
   * Answers {@link Open}; after {@link Status#OPENED} the bytes of the connection follow.
   *
   * @param status whether the connection is open
   * @param signals whether the sender tells the end of the connection by a {@link RelaySignal};
   *     earlier releases do not
   */
  record Opened(Status status, boolean signals) implements RelayMessage {}

  /**
   * Makes the sender known as an instance that opens connections for others.
   *
   * @param relay address at which it does so
   */
  record Join(InetSocketAddress relay) implements RelayMessage {}

  /**
   * Answers {@link Join}.
   *
   * @param relays some instances that open connections for others
   */
  record Known(List<InetSocketAddress> relays) implements RelayMessage {
    public Known {
      relays = List.copyOf(relays);
    }
  }

  /** What became of a connection that was asked for. */
  enum Status {
    /** It is open. */
    OPENED,
    /** The server refused it. */
    REFUSED,
    /** It could not be opened in time. */
    UNREACHABLE,
    /** The instance itself does not reach the service, or must not send to the server. */
    UNAVAILABLE
  }

  /** The statuses in the order of their codes. */
  List<Status> STATUSES =
      List.of(Status.OPENED, Status.REFUSED, Status.UNREACHABLE, Status.UNAVAILABLE);

  /** Protocol version, the first field of each message; other versions are rejected. */
  int PROTOCOL = 1;

  /** Limit of the instances in one message. */
  int MAX_RELAYS = 64;

  /** Limit of the length of a server's id in bytes. */
  int MAX_ID_BYTES = 1_024;

  /** Lengths of IP addresses in bytes. */
  int IPV4_BYTES = 4;

  int IPV6_BYTES = 16;

  /** Encodes the message. */
  default byte[] encode() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(PROTOCOL);
      switch (this) {
        case Open open -> out.packInt(0).packString(open.server()).packBoolean(open.signals());
        case Opened opened ->
            out.packInt(1).packInt(STATUSES.indexOf(opened.status())).packBoolean(opened.signals());
        case Join join -> {
          out.packInt(2);
          pack(out, join.relay());
        }
        case Known known -> {
          out.packInt(3).packArrayHeader(known.relays().size());
          for (InetSocketAddress relay : known.relays()) {
            pack(out, relay);
          }
        }
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the relay message", e);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws IOException if it is malformed
   */
  static RelayMessage decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int protocol = in.unpackInt();
      if (protocol != PROTOCOL) {
        throw new IOException("relay protocol version " + protocol + " is not supported");
      }
      int kind = in.unpackInt();
      return switch (kind) {
        case 0 -> new Open(unpackId(in), unpackSignals(in));
        case 1 -> new Opened(status(in.unpackInt()), unpackSignals(in));
        case 2 -> new Join(unpackAddress(in));
        case 3 -> new Known(unpackRelays(in));
        default -> throw new IOException("relay message of unknown kind " + kind);
      };
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new IOException("malformed relay message", e);
    }
  }

  /** Unpacks a field that the messages of earlier releases lack, and that these ignore. */
  private static boolean unpackSignals(MessageUnpacker in) throws IOException {
    return in.hasNext() && in.unpackBoolean();
  }

  private static Status status(int code) throws IOException {
    if (code < 0 || code >= STATUSES.size()) {
      throw new IOException("relay status " + code + " is unknown");
    }
    return STATUSES.get(code);
  }

  private static List<InetSocketAddress> unpackRelays(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    if (count > MAX_RELAYS) {
      throw new IOException(count + " relays exceed the limit of " + MAX_RELAYS);
    }
    List<InetSocketAddress> relays = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      relays.add(unpackAddress(in));
    }
    return relays;
  }

  private static String unpackId(MessageUnpacker in) throws IOException {
    int length = in.unpackRawStringHeader();
    if (length > MAX_ID_BYTES) {
      throw new IOException("a server id of " + length + " bytes");
    }
    return new String(in.readPayload(length), StandardCharsets.UTF_8);
  }

  private static void pack(MessageBufferPacker out, InetSocketAddress address) throws IOException {
    byte[] ip = address.getAddress().getAddress();
    out.packBinaryHeader(ip.length);
    out.writePayload(ip);
    out.packInt(address.getPort());
  }

  private static InetSocketAddress unpackAddress(MessageUnpacker in) throws IOException {
    int length = in.unpackBinaryHeader();
    if (length != IPV4_BYTES && length != IPV6_BYTES) {
      throw new IOException("an address of " + length + " bytes");
    }
    InetAddress ip = InetAddress.getByAddress(in.readPayload(length));
    return new InetSocketAddress(ip, in.unpackInt());
  }
}
