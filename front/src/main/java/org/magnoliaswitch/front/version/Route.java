package org.magnoliaswitch.front.version;

import java.util.List;
import java.util.Set;

/**
 * How requests for one host and path prefix are treated.
 *
 * @param name unique among the routes
 * @param host value of the caller's Host header, in lower case and without a port
 * @param prefix begins and ends with a slash
 * @param idempotent whether a request may run more than once
 * @param timeoutNanos longest time a caller waits for its final answer
 * @param objectiveNanos latency up to which an answer has its full value
 * @param priority rank among routes; 0 is the most urgent
 * @param maxServers most backend servers that one request is sent to
 * @param services services that share the route's traffic; never empty
 * @param regions the only regions whose servers may get its requests; empty if all may
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
    Set<String> regions) {
  public Route {
    services = List.copyOf(services);
    regions = Set.copyOf(regions);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
  }

  /** A route whose requests may go to servers in all regions. */
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
        Set.of());
  }

  /** The same route for servers in some regions only. */
  public Route withRegions(Set<String> next) {
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
        next);
  }

  /** Whether servers in a region may get its requests. */
  public boolean allows(String region) {
    return regions.isEmpty() || regions.contains(region);
  }
}
