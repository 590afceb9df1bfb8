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

/** Which servers of each service this instance sends to; used by one thread. */
final class ServerGroups {
  private final FrontSettings settings;
  private final Clocks clocks;
  private final InstanceCount instances;
  private final ColdServerQuotas coldServers;
  private final Map<String, List<ServerPool>> byService = new HashMap<>();
  private final Map<String, Double> parts = new HashMap<>();
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

  /** The servers of a service, those that leave included; of a large service a part. */
  List<ServerPool> of(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Share of a service's servers that this instance sends to. */
  double subsetShare(String service) {
    return parts.getOrDefault(service, 1.0);
  }

  /** Whether the servers whose place others take differ from when the groups were formed. */
  boolean outdated(Collection<ServerPool> all) {
    return !unavailable(all).equals(unavailable);
  }

  private Set<ServerPool> unavailable(Collection<ServerPool> all) {
    return all.stream()
        .filter(pool -> unavailable(pool.state()))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Whether it cannot be reached, or has asked this instance for a pause. */
  private boolean unavailable(ServerState server) {
    long now = clocks.nanos();
    return server.recentlyUnreachable(now) || server.backpressure().remainingPauseNanos(now) > 0;
  }

  /**
   * Forms the groups anew. Those that leave are kept beside the part in use, since requests may
   * still be at work there.
   */
  void form(Collection<ServerPool> all) {
    Map<String, List<ServerPool>> accepting = new HashMap<>();
    Map<String, List<ServerPool>> leaving = new HashMap<>();
    for (ServerPool pool : all) {
      var group = pool.state().acceptsWork() ? accepting : leaving;
      group.computeIfAbsent(pool.state().entry().service(), name -> new ArrayList<>()).add(pool);
    }
    unavailable = unavailable(all);
    byService.clear();
    parts.clear();
    accepting.forEach(
        (service, pools) -> {
          List<ServerPool> used = used(pools);
          parts.put(service, used.size() / (double) pools.size());
          byService.put(service, withColdOnes(used, pools));
        });
    leaving.forEach(
        (service, pools) ->
            byService.computeIfAbsent(service, name -> new ArrayList<>()).addAll(pools));
  }

  /**
   * The part in use and the cold servers that this instance was drawn for. Few are, so a server
   * that has just come would wait long for its first request if they had to use it anyway.
   */
  private List<ServerPool> withColdOnes(List<ServerPool> used, List<ServerPool> all) {
    Set<ServerPool> chosen = new LinkedHashSet<>(used);
    for (ServerPool pool : all) {
      if (pool.state().cold(clocks.nanos()) && coldServers.drawn(pool.state())) {
        chosen.add(pool);
      }
    }
    return new ArrayList<>(chosen);
  }

  private List<ServerPool> used(List<ServerPool> pools) {
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
