package org.magnoliaswitch.front.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.peer.CrashReportCodec;
import org.magnoliaswitch.front.load.InstancePlace;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
import org.magnoliaswitch.front.version.WeightedService;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads {@link PeerNews} as MessagePack; fields stand in the order of the records. */
public final class PeerNewsCodec {
  /** First field of each message; another number is another protocol and refused. */
  private static final int PROTOCOL = 2;

  private PeerNewsCodec() {}

  /** Encodes a message. */
  public static byte[] encode(PeerNews news) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(PROTOCOL);
      out.packLong(news.ageMillis());
      out.packInt(news.instances());
      out.packBoolean(news.routes().isPresent());
      if (news.routes().isPresent()) {
        writeRoutes(out, news.routes().get());
      }
      writeServers(out, news.servers());
      CrashReportCodec.write(out, news.crashes());
      writeEvacuations(out, news.evacuations());
      if (news.routes().isPresent()) {
        RouteExtrasCodec.write(out, news.routes().get());
      }
      if (news.place().isPresent()) {
        writePlace(out, news.place().get());
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory does not fail", e);
    }
  }

  /**
   * Encodes the end of a message without a place: all listeners get the same message, but each has
   * a place of its own.
   */
  static byte[] encodePlace(InstancePlace place) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      writePlace(out, place);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory does not fail", e);
    }
  }

  private static void writePlace(MessagePacker out, InstancePlace place) throws IOException {
    out.packInt(place.index());
    out.packInt(place.places());
  }

  private static InstancePlace readPlace(MessageUnpacker in) throws IOException {
    int index = in.unpackInt();
    return new InstancePlace(index, in.unpackInt());
  }

  /** Decodes a message; anything malformed is an {@link IOException}. */
  public static PeerNews decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int protocol = in.unpackInt();
      if (protocol != PROTOCOL) {
        throw new IOException("protocol " + protocol + " is not known");
      }
      long age = in.unpackLong();
      int instances = in.unpackInt();
      Optional<RouteTable> routes =
          in.unpackBoolean() ? Optional.of(readRoutes(in)) : Optional.empty();
      ServerChanges servers = readServers(in);
      // Instances of an earlier release write nothing more, and pass over what they do not know.
      List<CrashReport> crashes = in.hasNext() ? CrashReportCodec.read(in) : List.of();
      Evacuations evacuations = in.hasNext() ? readEvacuations(in) : Evacuations.UNKNOWN;
      if (routes.isPresent() && in.hasNext()) {
        routes = Optional.of(RouteExtrasCodec.read(in, routes.get()));
      }
      Optional<InstancePlace> place = in.hasNext() ? Optional.of(readPlace(in)) : Optional.empty();
      return new PeerNews(age, instances, routes, servers, evacuations, crashes, place);
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

  private static void writeRoutes(MessagePacker out, RouteTable table) throws IOException {
    out.packLong(table.version());
    List<Route> routes = table.routes();
    out.packArrayHeader(routes.size());
    for (Route route : routes) {
      writeRoute(out, route);
    }
    out.packArrayHeader(table.services().size());
    for (ServicePolicy service : table.services()) {
      out.packString(service.name());
      out.packString(service.healthPath());
      out.packInt(service.maxConnections());
    }
    out.packInt(table.limits().maxHeaderBytes());
    out.packLong(table.limits().maxBodyBytes());
    out.packLong(table.limits().headerTimeoutNanos());
    out.packLong(table.limits().idleTimeoutNanos());
  }

  private static RouteTable readRoutes(MessageUnpacker in) throws IOException {
    long version = in.unpackLong();
    List<Route> routes = new ArrayList<>();
    for (int left = in.unpackArrayHeader(); left > 0; left--) {
      routes.add(readRoute(in));
    }
    List<ServicePolicy> services = new ArrayList<>();
    for (int left = in.unpackArrayHeader(); left > 0; left--) {
      services.add(
          new ServicePolicy(
              in.unpackString(), in.unpackString(), in.unpackInt(), Warmup.UNLIMITED));
    }
    CallerLimits limits =
        new CallerLimits(in.unpackInt(), in.unpackLong(), in.unpackLong(), in.unpackLong());
    return new RouteTable(version, routes, services, limits);
  }

  private static void writeRoute(MessagePacker out, Route route) throws IOException {
    out.packString(route.name());
    out.packString(route.host());
    out.packString(route.prefix());
    out.packBoolean(route.idempotent());
    out.packLong(route.timeoutNanos());
    out.packLong(route.objectiveNanos());
    out.packInt(route.priority());
    out.packInt(route.maxServers());
    out.packArrayHeader(route.parts().size());
    for (WeightedService part : route.parts()) {
      out.packString(part.service());
      out.packDouble(part.weight());
    }
  }

  private static Route readRoute(MessageUnpacker in) throws IOException {
    return new Route(
        in.unpackString(),
        in.unpackString(),
        in.unpackString(),
        in.unpackBoolean(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackInt(),
        in.unpackInt(),
        readParts(in));
  }

  private static List<WeightedService> readParts(MessageUnpacker in) throws IOException {
    List<WeightedService> parts = new ArrayList<>();
    for (int left = in.unpackArrayHeader(); left > 0; left--) {
      parts.add(new WeightedService(in.unpackString(), in.unpackDouble()));
    }
    return parts;
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
