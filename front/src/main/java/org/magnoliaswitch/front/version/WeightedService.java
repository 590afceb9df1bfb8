package org.magnoliaswitch.front.version;

/**
 * One part of a route's traffic.
 *
 * @param service name of the service that gets it
 * @param weight its share relative to the other parts; positive
 */
public record WeightedService(String service, double weight) {}
