package org.magnoliaswitch.front.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** The routes, services, teams and limits of one configuration version; immutable. */
public final class RouteTable {
  /** Table of an instance that has not received a configuration yet. */
  public static final RouteTable EMPTY =
      new RouteTable(0, List.of(), List.of(), CallerLimits.DEFAULT);

  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();

  private final long version;
  private final Map<String, List<Route>> byHost = new HashMap<>();
  private final Map<String, ServicePolicy> services = new HashMap<>();
  private final CallerLimits limits;
  private final TeamTable teams;

  /** Creates a configuration without teams. */
  public RouteTable(
      long version,
      Collection<Route> routes,
      Collection<ServicePolicy> services,
      CallerLimits limits) {
    this(version, routes, services, limits, TeamTable.EMPTY);
  }

  public RouteTable(
      long version,
      Collection<Route> routes,
      Collection<ServicePolicy> services,
      CallerLimits limits,
      TeamTable teams) {
    this.version = version;
    this.limits = limits;
    this.teams = teams;
    services.forEach(service -> this.services.put(service.name(), service));
    routes.forEach(r -> byHost.computeIfAbsent(r.host(), host -> new ArrayList<>()).add(r));
    byHost.values().forEach(list -> list.sort(LONGEST_PREFIX_FIRST));
  }

  /** Returns the configuration version; 0 if none has been received. */
  public long version() {
    return version;
  }

  /** Returns the routes of all hosts. */
  public List<Route> routes() {
    return byHost.values().stream().flatMap(List::stream).toList();
  }

  /** Returns the limits on the requests of callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the teams; empty if requests carry no keys. */
  public TeamTable teams() {
    return teams;
  }

  /** Whether a configuration has been received. */
  public boolean known() {
    return version > 0;
  }

  /** Returns the policy of a service if it is declared. */
  public Optional<ServicePolicy> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the limits of a service's servers while they are cold. */
  public Warmup warmup(String service) {
    return service(service).map(ServicePolicy::warmup).orElse(Warmup.UNLIMITED);
  }

  /** Returns the policies of all declared services. */
  public Collection<ServicePolicy> services() {
    return services.values();
  }

  /**
   * Returns the route of a request: the one with the longest prefix of the request's path.
   *
   * @param host value of the Host header
   * @param target request target, with or without a query
   */
  public Optional<Route> find(String host, String target) {
    List<Route> routes = byHost.getOrDefault(hostWithoutPort(host), List.of());
    String path = pathOf(target);
    for (Route route : routes) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String hostWithoutPort(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
    return name.toLowerCase(Locale.ROOT);
  }

  private static String pathOf(String target) {
    int start = 0;
    if (!target.startsWith("/")) {
      int scheme = target.indexOf("://");
      int slash = scheme < 0 ? -1 : target.indexOf('/', scheme + 3);
      start = Math.max(0, slash);
    }
    int query = target.indexOf('?', start);
    return target.substring(start, query < 0 ? target.length() : query);
  }
}
