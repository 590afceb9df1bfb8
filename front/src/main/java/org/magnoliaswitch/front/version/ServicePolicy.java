package org.magnoliaswitch.front.version;

/**
 * What the configuration says of one service.
 *
 * @param name unique among the services
 * @param healthPath path that answers with the server's health and load
 * @param maxConnections connections one backend server accepts from all callers together
 */
public record ServicePolicy(String name, String healthPath, int maxConnections) {}
