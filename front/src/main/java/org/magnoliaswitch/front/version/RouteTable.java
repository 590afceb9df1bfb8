package org.magnoliaswitch.front.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** The routes, services and limits of one configuration version; immutable, swapped as a whole. */
public final class RouteTable {
  /** What an instance holds before it has received any configuration. */
  public static final RouteTable EMPTY =
      new RouteTable(0, List.of(), List.of(), CallerLimits.DEFAULT);

  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();

  private final long version;
  private final Map<String, List<Route>> byHost = new HashMap<>();
  private final Map<String, ServicePolicy> services = new HashMap<>();
  private final CallerLimits limits;

  public RouteTable(
      long version,
      Collection<Route> routes,
      Collection<ServicePolicy> services,
      CallerLimits limits) {
    this.version = version;
    this.limits = limits;
    services.forEach(service -> this.services.put(service.name(), service));
    routes.forEach(r -> byHost.computeIfAbsent(r.host(), host -> new ArrayList<>()).add(r));
    byHost.values().forEach(list -> list.sort(LONGEST_PREFIX_FIRST));
  }

  /** Its number; 0 stands for none yet. */
  public long version() {
    return version;
  }

  /** All routes. */
  public List<Route> routes() {
    return byHost.values().stream().flatMap(List::stream).toList();
  }

  /** Bounds on what callers may send. */
  public CallerLimits limits() {
    return limits;
  }

  /** Whether a configuration has been received. */
  public boolean known() {
    return version > 0;
  }

  /** What is declared of a service. */
  public Optional<ServicePolicy> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** What a service's servers bear while they are cold. */
  public Warmup warmup(String service) {
    return service(service).map(ServicePolicy::warmup).orElse(Warmup.UNLIMITED);
  }

  /** All declared services. */
  public Collection<ServicePolicy> services() {
    return services.values();
  }

  /**
   * The route of a request: the longest prefix that begins its path.
   *
   * @param host value of the Host header
   * @param target request target, with or without a query
   */
  public Optional<Route> find(String host, String target) {
    List<Route> routes = byHost.getOrDefault(bareHost(host), List.of());
    String path = pathOf(target);
    for (Route route : routes) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String bareHost(String host) {
    int colon = host.lastIndexOf(':');
    String bare = colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
    return bare.toLowerCase(Locale.ROOT);
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
