package org.magnoliaswitch.front.version;

import java.util.List;
import java.util.Set;

/**
 * Rules for the requests to one host and path prefix.
 *
 * @param name unique among the routes
 * @param host value of the caller's Host header, in lower case and without a port
 * @param prefix begins and ends with a slash
 * @param idempotent whether a request may run more than once
 * @param timeoutNanos maximum time that a caller waits for its final response
 * @param objectiveNanos latency up to which a response has its full value
 * @param priority rank among routes; 0 is the most urgent
 * @param maxServers maximum number of backend servers that one request is sent to
 * @param services services that share the route's traffic; never empty
 * @param regions regions whose servers may receive its requests; empty if all may
 * @param anonymous whether its requests need no key although the configuration has teams
 */
public record Route(
    String name,
    String host,
    String prefix,
    boolean idempotent,
    long timeoutNanos,
    long objectiveNanos,
    int priority,
    int maxServers,
    List<WeightedService> services,
    Set<String> regions,
    boolean anonymous) {
  public Route {
    services = List.copyOf(services);
    regions = Set.copyOf(regions);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
  }

  /** Creates a route whose requests may go to servers in all regions and need a key. */
  public Route(
      String name,
      String host,
      String prefix,
      boolean idempotent,
      long timeoutNanos,
      long objectiveNanos,
      int priority,
      int maxServers,
      List<WeightedService> services) {
    this(
        name,
        host,
        prefix,
        idempotent,
        timeoutNanos,
        objectiveNanos,
        priority,
        maxServers,
        services,
        Set.of(),
        false);
  }

  /** Returns a copy of the route for servers in the given regions only. */
  public Route withRegions(Set<String> allowedRegions) {
    return new Route(
        name,
        host,
        prefix,
        idempotent,
        timeoutNanos,
        objectiveNanos,
        priority,
        maxServers,
        services,
        allowedRegions,
        anonymous);
  }

  /** Returns a copy of the route whose requests need no key. */
  public Route withoutKeys() {
    return new Route(
        name,
        host,
        prefix,
        idempotent,
        timeoutNanos,
        objectiveNanos,
        priority,
        maxServers,
        services,
        regions,
        true);
  }

  /** Whether servers in a region may receive its requests. */
  public boolean allows(String region) {
    return regions.isEmpty() || regions.contains(region);
  }
}
