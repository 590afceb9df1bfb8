package org.magnoliaswitch.front.version;

/**
 * What the configuration says of one service.
 *
 * @param name unique among the services
 * @param healthPath path that answers with the server's health and load
 * @param maxConnections connections one backend server accepts from all callers together
 * @param warmup what its servers bear while they are cold
 */
public record ServicePolicy(String name, String healthPath, int maxConnections, Warmup warmup) {
  /** The same service with a warm-up. */
  public ServicePolicy withWarmup(Warmup next) {
    return new ServicePolicy(name, healthPath, maxConnections, next);
  }
}
