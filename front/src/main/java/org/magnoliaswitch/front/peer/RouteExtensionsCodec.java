package org.magnoliaswitch.front.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the parts of a configuration that were added by a later release: warm-ups of
 * services and regions of routes. They come at the end of a message, where an instance of an
 * earlier release ignores them.
 */
final class RouteExtensionsCodec {
  private RouteExtensionsCodec() {}

  static void write(MessagePacker out, RouteTable table) throws IOException {
    List<ServicePolicy> limited =
        table.services().stream().filter(service -> service.warmup().limited()).toList();
    out.packArrayHeader(limited.size());
    for (ServicePolicy service : limited) {
      out.packString(service.name());
      out.packLong(service.warmup().durationNanos());
      out.packDouble(service.warmup().requestsPerSecond());
    }
    List<Route> restricted =
        table.routes().stream().filter(route -> !route.regions().isEmpty()).toList();
    out.packArrayHeader(restricted.size());
    for (Route route : restricted) {
      out.packString(route.name());
      out.packArrayHeader(route.regions().size());
      for (String region : route.regions()) {
        out.packString(region);
      }
    }
  }

  /** Reads the added parts and returns the table completed with them. */
  static RouteTable read(MessageUnpacker in, RouteTable table) throws IOException {
    Map<String, Warmup> warmups = new HashMap<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      warmups.put(in.unpackString(), new Warmup(in.unpackLong(), in.unpackDouble()));
    }
    Map<String, Set<String>> regions = new HashMap<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      regions.put(in.unpackString(), readRegions(in));
    }
    List<Route> routes = new ArrayList<>();
    table
        .routes()
        .forEach(r -> routes.add(r.withRegions(regions.getOrDefault(r.name(), Set.of()))));
    List<ServicePolicy> services = new ArrayList<>();
    table
        .services()
        .forEach(s -> services.add(s.withWarmup(warmups.getOrDefault(s.name(), Warmup.UNLIMITED))));
    return new RouteTable(table.version(), routes, services, table.limits());
  }

  private static Set<String> readRegions(MessageUnpacker in) throws IOException {
    Set<String> regions = new HashSet<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      regions.add(in.unpackString());
    }
    return regions;
  }
}
