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
 * The difference between a configuration version and a later one.
 *
 * @param base the only version to which the changes apply
 * @param version version that results from applying them
 * @param changed routes that were added or modified
 * @param removed names of the removed routes
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

  /** Returns the changes from a base version, given the names of the routes that differ. */
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

  /**
   * Returns the names of the routes that differ between two versions or exist in only one of them.
   */
  static Set<String> differingNames(RouteTable before, RouteTable after) {
    Map<String, Route> remaining = byName(before);
    Set<String> names = new HashSet<>();
    for (Route route : after.routes()) {
      if (!route.equals(remaining.remove(route.name()))) {
        names.add(route.name());
      }
    }
    names.addAll(remaining.keySet());
    return names;
  }

  /** Returns the later version; empty if the given one is not the base version. */
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
