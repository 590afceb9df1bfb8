package org.magnoliaswitch.front.version;

/**
 * A service that receives a share of a route's traffic.
 *
 * @param service name of the service
 * @param weight its share relative to the other services of the route; positive
 */
public record WeightedService(String service, double weight) {}
