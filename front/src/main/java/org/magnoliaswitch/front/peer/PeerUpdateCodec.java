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
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.RouteUpdate;
import org.magnoliaswitch.front.version.ServerEntry;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes {@link PeerUpdate} as MessagePack. Fields are written by position; those that
 * a later release added come last, where an earlier release ignores them.
 */
public final class PeerUpdateCodec {
  /** Protocol version, the first field of each message; other versions are rejected. */
  private static final int PROTOCOL = 2;

  private PeerUpdateCodec() {}

  /** Encodes a message. */
  public static byte[] encode(PeerUpdate update) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(PROTOCOL);
      out.packLong(update.ageMillis());
      out.packInt(update.instances());
      out.packBoolean(update.routes().isPresent());
      if (update.routes().isPresent()) {
        RouteTableCodec.write(out, update.routes().get());
      }
      writeServers(out, update.servers());
      CrashReportCodec.write(out, update.crashes());
      writeEvacuations(out, update.evacuations());
      if (update.routes().isPresent()) {
        RouteExtensionsCodec.write(out, update.routes().get());
      }
      if (update.instanceIndex().isPresent()) {
        writeIndex(out, update.instanceIndex().get());
      }
      if (update.configuration().isPresent()) {
        ConfigurationUpdate configuration = update.configuration().get();
        out.packLong(configuration.version());
        out.packLong(configuration.ageMillis());
        out.addPayload(RouteUpdateCodec.encode(configuration.update()));
        out.addPayload(
            encodeRevisions(update.servers().revision(), update.evacuations().revision()));
      }
      if (update.teams().isPresent()) {
        out.addPayload(TeamMessageCodec.encode(update.teams().get()));
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the peer update", e);
    }
  }

  /**
   * Encodes the tail of a message that was encoded without an index, up to its {@link RouteUpdate}.
   * Listeners share the encoded message, but each has its own index and needs its own update.
   *
   * @param version version of the configuration in force at this instance
   * @param ageMillis time since this version was confirmed to be the newest
   */
  static byte[] encodeTail(InstanceIndex index, long version, long ageMillis) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      writeIndex(out, index);
      out.packLong(version);
      out.packLong(ageMillis);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the tail of the peer update", e);
    }
  }

  /**
   * Encodes the end of a message: the revisions, of which instances of an earlier release know only
   * a version each.
   */
  static byte[] encodeRevisions(Revision servers, Revision evacuations) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      writeRevision(out, servers);
      writeRevision(out, evacuations);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the revisions of the peer update", e);
    }
  }

  private static void writeRevision(MessagePacker out, Revision revision) throws IOException {
    out.packLong(revision.epoch());
    out.packLong(revision.version());
    out.packBoolean(revision.exact());
  }

  private static Revision readRevision(MessageUnpacker in) throws IOException {
    long epoch = in.unpackLong();
    long version = in.unpackLong();
    return new Revision(epoch, version, in.unpackBoolean());
  }

  /** Returns the version that instances of an earlier release compare. */
  private static long earlierReleaseVersion(Revision revision) {
    return revision.exact() ? revision.version() : Math.max(0, revision.version() - 1);
  }

  /** Returns the revision that a message of an earlier release names by a version alone. */
  private static Revision earlierReleaseRevision(long version) {
    return version == 0 ? Revision.NONE : Revision.of(0, version);
  }

  private static ConfigurationUpdate readConfiguration(MessageUnpacker in) throws IOException {
    long version = in.unpackLong();
    long age = in.unpackLong();
    return new ConfigurationUpdate(version, age, RouteUpdateCodec.read(in));
  }

  private static void writeIndex(MessagePacker out, InstanceIndex index) throws IOException {
    out.packInt(index.index());
    out.packInt(index.count());
  }

  private static InstanceIndex readIndex(MessageUnpacker in) throws IOException {
    int index = in.unpackInt();
    return new InstanceIndex(index, in.unpackInt());
  }

  /**
   * Decodes a message.
   *
   * @throws IOException if the message is malformed
   */
  public static PeerUpdate decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int protocol = in.unpackInt();
      if (protocol != PROTOCOL) {
        throw new IOException("protocol version " + protocol + " is not supported");
      }
      long age = in.unpackLong();
      int instances = in.unpackInt();
      Optional<RouteTable> routes =
          in.unpackBoolean() ? Optional.of(RouteTableCodec.read(in)) : Optional.empty();
      ServerChanges servers = readServers(in);
      // Instances of an earlier release write nothing more, and ignore fields that they don't know.
      List<CrashReport> crashes = in.hasNext() ? CrashReportCodec.read(in) : List.of();
      Evacuations evacuations = in.hasNext() ? readEvacuations(in) : Evacuations.UNKNOWN;
      if (routes.isPresent() && in.hasNext()) {
        routes = Optional.of(RouteExtensionsCodec.read(in, routes.get()));
      }
      Optional<InstanceIndex> index = in.hasNext() ? Optional.of(readIndex(in)) : Optional.empty();
      Optional<ConfigurationUpdate> configuration =
          in.hasNext() ? Optional.of(readConfiguration(in)) : Optional.empty();
      if (configuration.isPresent() && in.hasNext()) {
        servers = servers.at(readRevision(in));
        evacuations = new Evacuations(readRevision(in), evacuations.dataCentres());
      }
      Optional<TeamNews> teams =
          in.hasNext() ? Optional.of(TeamMessageCodec.readNews(in)) : Optional.empty();
      return new PeerUpdate(
          age, instances, routes, servers, evacuations, crashes, index, configuration, teams);
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new IOException("malformed update", e);
    }
  }

  private static void writeEvacuations(MessagePacker out, Evacuations evacuations)
      throws IOException {
    out.packLong(earlierReleaseVersion(evacuations.revision()));
    out.packArrayHeader(evacuations.dataCentres().size());
    for (String dataCentre : evacuations.dataCentres()) {
      out.packString(dataCentre);
    }
  }

  private static Evacuations readEvacuations(MessageUnpacker in) throws IOException {
    long version = in.unpackLong();
    Set<String> dataCentres = new HashSet<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      dataCentres.add(in.unpackString());
    }
    return new Evacuations(earlierReleaseRevision(version), dataCentres);
  }

  private static void writeServers(MessagePacker out, ServerChanges changes) throws IOException {
    out.packLong(earlierReleaseVersion(changes.revision()));
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
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
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
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      removed.add(in.unpackString());
    }
    return new ServerChanges(earlierReleaseRevision(version), changed, removed);
  }
}
