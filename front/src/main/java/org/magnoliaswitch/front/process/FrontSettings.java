package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.front.load.ColdShare;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.SharedRetryBudget;

/**
 * What one instance is told at its start.
 *
 * @param instance name of this instance
 * @param dataCentre where it runs
 * @param callers address for callers
 * @param readiness address of the readiness check
 * @param peers address on which other instances ask for news
 * @param seeds addresses of instances that read discovery and configuration for the others
 * @param firstStart whether all instances start for the first time, together
 * @param metricsPort port of the metrics page, on the address of the readiness check
 * @param graceNanos time between the signal to stop and the kill
 * @param retryBudget budget of further sends over all instances
 * @param probesPerServer health checks per second that one server may get from all instances
 * @param coldServerBounds what all instances together may send to a cold server
 * @param regions region of each data centre, by the data centre's name
 * @param mechanisms which parts of the decisions under load are in force
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
    Mechanisms mechanisms) {
  public FrontSettings {
    seeds = List.copyOf(seeds);
    regions = Map.copyOf(regions);
  }

  /** Region of a data centre; one that was added since the start is a region of its own. */
  public String region(String ofDataCentre) {
    return regions.getOrDefault(ofDataCentre, ofDataCentre);
  }
}
