package org.magnoliaswitch.front.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.peer.CrashReportCodec;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.RouteUpdate;
import org.magnoliaswitch.front.version.ServerEntry;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads {@link PeerUpdate} as MessagePack; fields stand in the order of the records. */
public final class PeerUpdateCodec {
  /** First field of each message; another number is another protocol and refused. */
  private static final int PROTOCOL = 2;

  private PeerUpdateCodec() {}

  /** Encodes a message. */
  public static byte[] encode(PeerUpdate news) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(PROTOCOL);
      out.packLong(news.ageMillis());
      out.packInt(news.instances());
      out.packBoolean(news.routes().isPresent());
      if (news.routes().isPresent()) {
        RouteTableCodec.write(out, news.routes().get());
      }
      writeServers(out, news.servers());
      CrashReportCodec.write(out, news.crashes());
      writeEvacuations(out, news.evacuations());
      if (news.routes().isPresent()) {
        RouteExtensionsCodec.write(out, news.routes().get());
      }
      if (news.instanceIndex().isPresent()) {
        writePlace(out, news.instanceIndex().get());
      }
      if (news.configuration().isPresent()) {
        ConfigurationUpdate configuration = news.configuration().get();
        out.packLong(configuration.version());
        out.packLong(configuration.ageMillis());
        out.addPayload(RouteUpdateCodec.encode(configuration.update()));
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory does not fail", e);
    }
  }

  /**
   * Encodes the end of a message without a place, up to its {@link RouteUpdate}: all listeners get
   * the same message, but each has a place of its own and lacks something else.
   *
   * @param version version of the configuration in force here
   * @param ageMillis how long ago that was known to be the newest
   */
  static byte[] encodeEnd(InstanceIndex place, long version, long ageMillis) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      writePlace(out, place);
      out.packLong(version);
      out.packLong(ageMillis);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory does not fail", e);
    }
  }

  private static ConfigurationUpdate readConfiguration(MessageUnpacker in) throws IOException {
    long version = in.unpackLong();
    long age = in.unpackLong();
    return new ConfigurationUpdate(version, age, RouteUpdateCodec.read(in));
  }

  private static void writePlace(MessagePacker out, InstanceIndex place) throws IOException {
    out.packInt(place.index());
    out.packInt(place.count());
  }

  private static InstanceIndex readPlace(MessageUnpacker in) throws IOException {
    int index = in.unpackInt();
    return new InstanceIndex(index, in.unpackInt());
  }

  /** Decodes a message; anything malformed is an {@link IOException}. */
  public static PeerUpdate decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int protocol = in.unpackInt();
      if (protocol != PROTOCOL) {
        throw new IOException("protocol " + protocol + " is not known");
      }
      long age = in.unpackLong();
      int instances = in.unpackInt();
      Optional<RouteTable> routes =
          in.unpackBoolean() ? Optional.of(RouteTableCodec.read(in)) : Optional.empty();
      ServerChanges servers = readServers(in);
      // Instances of an earlier release write nothing more, and pass over what they do not know.
      List<CrashReport> crashes = in.hasNext() ? CrashReportCodec.read(in) : List.of();
      Evacuations evacuations = in.hasNext() ? readEvacuations(in) : Evacuations.UNKNOWN;
      if (routes.isPresent() && in.hasNext()) {
        routes = Optional.of(RouteExtensionsCodec.read(in, routes.get()));
      }
      Optional<InstanceIndex> place = in.hasNext() ? Optional.of(readPlace(in)) : Optional.empty();
      Optional<ConfigurationUpdate> configuration =
          in.hasNext() ? Optional.of(readConfiguration(in)) : Optional.empty();
      return new PeerUpdate(
          age, instances, routes, servers, evacuations, crashes, place, configuration);
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new IOException("malformed news", e);
    }
  }

  private static void writeEvacuations(MessagePacker out, Evacuations evacuations)
      throws IOException {
    out.packLong(evacuations.version());
    out.packArrayHeader(evacuations.dataCentres().size());
    for (String dataCentre : evacuations.dataCentres()) {
      out.packString(dataCentre);
    }
  }

  private static Evacuations readEvacuations(MessageUnpacker in) throws IOException {
    long version = in.unpackLong();
    Set<String> dataCentres = new HashSet<>();
    for (int left = in.unpackArrayHeader(); left > 0; left--) {
      dataCentres.add(in.unpackString());
    }
    return new Evacuations(version, dataCentres);
  }

  private static void writeServers(MessagePacker out, ServerChanges changes) throws IOException {
    out.packLong(changes.version());
    out.packArrayHeader(changes.changed().size());
    for (ServerEntry entry : changes.changed()) {
      out.packString(entry.id());
      out.packLong(entry.startedMillis());
      out.packString(entry.service());
      out.packString(entry.host());
      out.packInt(entry.port());
      out.packString(entry.dataCentre());
      out.packInt(entry.slots());
      out.packBoolean(entry.draining());
      out.packLong(entry.warmupNanos());
    }
    out.packArrayHeader(changes.removed().size());
    for (String id : changes.removed()) {
      out.packString(id);
    }
  }

  private static ServerChanges readServers(MessageUnpacker in) throws IOException {
    long version = in.unpackLong();
    List<ServerEntry> changed = new ArrayList<>();
    for (int left = in.unpackArrayHeader(); left > 0; left--) {
      changed.add(
          new ServerEntry(
              in.unpackString(),
              in.unpackLong(),
              in.unpackString(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackBoolean(),
              in.unpackLong()));
    }
    List<String> removed = new ArrayList<>();
    for (int left = in.unpackArrayHeader(); left > 0; left--) {
      removed.add(in.unpackString());
    }
    return new ServerChanges(version, changed, removed);
  }
}
