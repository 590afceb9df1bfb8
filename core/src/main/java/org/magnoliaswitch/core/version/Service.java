package org.magnoliaswitch.core.version;

import java.util.List;

/**
 * A group of interchangeable backend servers behind one path prefix.
 *
 * @param name unique among the services
 * @param pathPrefix first path segments of its requests, such as {@code /booking}
 * @param profile name of the profile it picks
 * @param maxDrainShare share of servers that may drain without confirmation, 0 to 1
 * @param servers its backend servers
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

  /** The same service with other servers. */
  public Service withServers(List<BackendServer> others) {
    return new Service(name, pathPrefix, profile, maxDrainShare, others);
  }
}
