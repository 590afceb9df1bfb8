package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliaswitch.front.load.ColdShare;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.SharedRetryBudget;

/**
 * Start-up settings of one instance.
 *
 * @param instance name of this instance
 * @param dataCentre data centre in which it runs
 * @param callers address that callers connect to
 * @param readiness address of the readiness check
 * @param peers address that other instances connect to
 * @param seeds addresses of the instances that read discovery and configuration for the others
 * @param firstStart whether all instances start together for the first time
 * @param metricsPort port of the metrics page, on the address of the readiness check
 * @param graceNanos time between the stop signal and the kill
 * @param retryBudget budget of further attempts of all instances together
 * @param probesPerServer maximum number of health checks per second to one server from all
 *     instances together
 * @param coldServerBounds bounds on the requests of all instances together to a cold server
 * @param regions region of each data centre, by the data centre's name
 * @param mechanisms mechanisms of load balancing that are enabled
 * @param teams bounds on what teams may do; without effect while the configuration has no teams
 * @param relays addresses of relays; absent where connections are opened directly only
 */
public record FrontSettings(
    String instance,
    String dataCentre,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    InetSocketAddress peers,
    List<InetSocketAddress> seeds,
    boolean firstStart,
    int metricsPort,
    long graceNanos,
    SharedRetryBudget.Limits retryBudget,
    double probesPerServer,
    ColdShare.Bounds coldServerBounds,
    Map<String, String> regions,
    Mechanisms mechanisms,
    TeamBounds teams,
    Optional<RelaySettings> relays) {
  public FrontSettings {
    seeds = List.copyOf(seeds);
    regions = Map.copyOf(regions);
  }

  /**
   * Returns the region of a data centre. A data centre that was added after the start is a region
   * of its own.
   */
  public String region(String name) {
    return regions.getOrDefault(name, name);
  }
}
