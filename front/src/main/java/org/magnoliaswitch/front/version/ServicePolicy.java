package org.magnoliaswitch.front.version;

/**
 * Configuration of one service.
 *
 * @param name unique among the services
 * @param healthPath path of the health check, whose response reports the health and load of a
 *     server
 * @param maxConnections maximum number of connections that one backend server accepts from all
 *     callers together
 * @param warmup limits of its servers while they are cold
 */
public record ServicePolicy(String name, String healthPath, int maxConnections, Warmup warmup) {
  /** Returns a copy of the policy with other warm-up limits. */
  public ServicePolicy withWarmup(Warmup next) {
    return new ServicePolicy(name, healthPath, maxConnections, next);
  }
}
