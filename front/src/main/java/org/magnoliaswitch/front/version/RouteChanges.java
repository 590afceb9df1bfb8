package org.magnoliaswitch.front.version;

import java.util.Collection;
import java.util.HashMap;
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
 * @param teams differences between the teams of both versions
 */
public record RouteChanges(
    long base,
    long version,
    List<Route> changed,
    Set<String> removed,
    List<ServicePolicy> services,
    CallerLimits limits,
    TeamChanges teams) {
  public RouteChanges {
    changed = List.copyOf(changed);
    removed = Set.copyOf(removed);
    services = List.copyOf(services);
  }

  /**
   * Returns the changes from a base version, given the names of the routes and teams that differ.
   */
  static RouteChanges of(
      long base, RouteTable after, Collection<String> routes, Collection<String> teams) {
    Difference<Route> difference = Difference.of(byName(after), routes);
    return new RouteChanges(
        base,
        after.version(),
        difference.changed(),
        difference.removed(),
        List.copyOf(after.services()),
        after.limits(),
        TeamChanges.of(after.teams(), teams));
  }

  /**
   * Returns the names of the routes that differ between two versions or exist in only one of them.
   */
  static Set<String> differingNames(RouteTable before, RouteTable after) {
    return Difference.names(byName(before), after.routes(), Route::name);
  }

  /** Returns the later version; empty if the given one is not the base version. */
  public Optional<RouteTable> applyTo(RouteTable before) {
    if (before.version() != base) {
      return Optional.empty();
    }
    Map<String, Route> routes = byName(before);
    removed.forEach(routes::remove);
    changed.forEach(route -> routes.put(route.name(), route));
    return Optional.of(
        new RouteTable(version, routes.values(), services, limits, teams.applyTo(before.teams())));
  }

  private static Map<String, Route> byName(RouteTable table) {
    Map<String, Route> routes = new HashMap<>();
    table.routes().forEach(route -> routes.put(route.name(), route));
    return routes;
  }
}
