package org.magnoliaswitch.front.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.ServerSubset;

/** Selects the servers of each service that this instance sends to; used by one thread. */
final class ServerGroups {
  private final FrontSettings settings;
  private final Clocks clocks;
  private final InstanceCount instances;
  private final ColdServerQuotas coldServers;
  private final Map<String, List<ServerPool>> byService = new HashMap<>();
  private final Map<String, Double> subsetShares = new HashMap<>();
  private Set<ServerPool> unavailable = Set.of();

  ServerGroups(
      FrontSettings settings,
      Clocks clocks,
      InstanceCount instances,
      ColdServerQuotas coldServers) {
    this.settings = settings;
    this.clocks = clocks;
    this.instances = instances;
    this.coldServers = coldServers;
  }

  /**
   * Returns the servers of a service, including leaving ones; for a large service only a subset.
   */
  List<ServerPool> of(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns the share of a service's servers that this instance sends to. */
  double subsetShare(String service) {
    return subsetShares.getOrDefault(service, 1.0);
  }

  /** Whether the set of unavailable servers has changed since the groups were built. */
  boolean outdated(Collection<ServerPool> all) {
    return !unavailable(all).equals(unavailable);
  }

  private Set<ServerPool> unavailable(Collection<ServerPool> all) {
    return all.stream()
        .filter(pool -> unavailable(pool.state()))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Whether a server could not be reached recently or has asked this instance for a pause. */
  private boolean unavailable(ServerState server) {
    long now = clocks.nanos();
    return server.recentlyUnreachable(now) || server.backpressure().remainingPauseNanos(now) > 0;
  }

  /**
   * Selects the servers of each service anew. Leaving servers are kept in addition to the selected
   * ones, since they may still be executing requests.
   */
  void rebuild(Collection<ServerPool> all) {
    Map<String, List<ServerPool>> accepting = new HashMap<>();
    Map<String, List<ServerPool>> leaving = new HashMap<>();
    for (ServerPool pool : all) {
      var group = pool.state().acceptsWork() ? accepting : leaving;
      group.computeIfAbsent(pool.state().entry().service(), name -> new ArrayList<>()).add(pool);
    }
    unavailable = unavailable(all);
    byService.clear();
    subsetShares.clear();
    accepting.forEach(
        (service, pools) -> {
          List<ServerPool> selected = selected(pools);
          subsetShares.put(service, selected.size() / (double) pools.size());
          byService.put(service, withColdServers(selected, pools));
        });
    leaving.forEach(
        (service, pools) ->
            byService.computeIfAbsent(service, name -> new ArrayList<>()).addAll(pools));
  }

  /**
   * Returns the selected servers and the cold servers that this instance is selected to send to.
   * Only a few instances are, so a server that has just started would wait long for its first
   * request if it also had to be in the subset of one of them.
   */
  private List<ServerPool> withColdServers(List<ServerPool> selected, List<ServerPool> all) {
    Set<ServerPool> result = new LinkedHashSet<>(selected);
    for (ServerPool pool : all) {
      if (pool.state().cold(clocks.nanos()) && coldServers.selected(pool.state())) {
        result.add(pool);
      }
    }
    return new ArrayList<>(result);
  }

  private List<ServerPool> selected(List<ServerPool> pools) {
    Mechanisms mechanisms = settings.mechanisms();
    Set<ServerPool> avoided = mechanisms.enabled(Mechanism.REPLACEMENTS) ? unavailable : Set.of();
    return mechanisms.enabled(Mechanism.SUBSET)
        ? ServerSubset.withReplacements(pools, avoided, this::subset)
        : pools;
  }

  private List<ServerPool> subset(List<ServerPool> pools) {
    int size =
        instances.settled()
            ? ServerSubset.size(pools.size(), instances.count())
            : ServerSubset.initialSize(pools.size());
    return ServerSubset.select(
        pools, size, pool -> pool.state().entry(), settings.instance(), settings.dataCentre());
  }
}
