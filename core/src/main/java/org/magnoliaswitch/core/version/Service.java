package org.magnoliaswitch.core.version;

import java.util.List;

/**
 * A group of interchangeable backend servers behind one path prefix.
 *
 * @param name unique name of the service
 * @param pathPrefix first path segments of the service's requests, such as {@code /booking}
 * @param profile name of the profile that applies to the service
 * @param maxDrainShare share of the servers that may drain without the operator's confirmation, 0
 *     to 1
 * @param servers backend servers of the service
 */
public record Service(
    String name,
    String pathPrefix,
    String profile,
    double maxDrainShare,
    List<BackendServer> servers) {
  public Service {
    servers = List.copyOf(servers);
  }

  /** Returns a copy of this service with the given servers. */
  public Service withServers(List<BackendServer> replacements) {
    return new Service(name, pathPrefix, profile, maxDrainShare, replacements);
  }
}
