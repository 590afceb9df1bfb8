package org.magnoliaswitch.front.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What leads from one configuration version to a later one.
 *
 * @param base version that it applies to, and no other
 * @param version version that it leads to
 * @param changed routes that are new or differ
 * @param removed names of routes that are dropped
 * @param services all services of the later version
 * @param limits limits of the later version
 */
public record RouteChanges(
    long base,
    long version,
    List<Route> changed,
    Set<String> removed,
    List<ServicePolicy> services,
    CallerLimits limits) {
  public RouteChanges {
    changed = List.copyOf(changed);
    removed = Set.copyOf(removed);
    services = List.copyOf(services);
  }

  /** Compares two versions as far as routes of some names are concerned. */
  static RouteChanges of(long base, RouteTable after, Collection<String> names) {
    Map<String, Route> routes = byName(after);
    List<Route> changed = new ArrayList<>();
    Set<String> removed = new HashSet<>();
    for (String name : names) {
      Route route = routes.get(name);
      if (route == null) {
        removed.add(name);
      } else {
        changed.add(route);
      }
    }
    return new RouteChanges(
        base, after.version(), changed, removed, List.copyOf(after.services()), after.limits());
  }

  /** Names of the routes that one of two versions lacks or that differ. */
  static Set<String> names(RouteTable before, RouteTable after) {
    Map<String, Route> left = byName(before);
    Set<String> names = new HashSet<>();
    for (Route route : after.routes()) {
      if (!route.equals(left.remove(route.name()))) {
        names.add(route.name());
      }
    }
    names.addAll(left.keySet());
    return names;
  }

  /** The later version; absent if the given one is not that which this applies to. */
  public Optional<RouteTable> applyTo(RouteTable before) {
    if (before.version() != base) {
      return Optional.empty();
    }
    Map<String, Route> routes = byName(before);
    removed.forEach(routes::remove);
    changed.forEach(route -> routes.put(route.name(), route));
    return Optional.of(new RouteTable(version, routes.values(), services, limits));
  }

  private static Map<String, Route> byName(RouteTable table) {
    Map<String, Route> routes = new HashMap<>();
    table.routes().forEach(route -> routes.put(route.name(), route));
    return routes;
  }
}
