package org.magnoliaswitch.front.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
import org.magnoliaswitch.front.version.WeightedService;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes a configuration without the parts in {@link RouteExtensionsCodec}. */
final class RouteTableCodec {
  private RouteTableCodec() {}

  static void write(MessagePacker out, RouteTable table) throws IOException {
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

  static RouteTable read(MessageUnpacker in) throws IOException {
    long version = in.unpackLong();
    List<Route> routes = new ArrayList<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      routes.add(readRoute(in));
    }
    List<ServicePolicy> services = new ArrayList<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
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
    out.packArrayHeader(route.services().size());
    for (WeightedService weighted : route.services()) {
      out.packString(weighted.service());
      out.packDouble(weighted.weight());
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
        readWeightedServices(in));
  }

  private static List<WeightedService> readWeightedServices(MessageUnpacker in) throws IOException {
    List<WeightedService> services = new ArrayList<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      services.add(new WeightedService(in.unpackString(), in.unpackDouble()));
    }
    return services;
  }
}
