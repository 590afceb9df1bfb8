package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.load.ServiceLoad;
import org.magnoliaswitch.front.load.SharedRetryBudget;
import org.magnoliaswitch.front.load.WeightedServicePicker;
import org.magnoliaswitch.front.version.Route;

/** What outlives a configuration version for each route and service; used by one thread only. */
public final class RouteState {
  private final RandomGenerator random;
  private final SharedRetryBudget.Limits repeatLimits;
  private final Map<String, WeightedServicePicker> pickers = new HashMap<>();
  private final Map<String, LatencyBaseline> baselines = new HashMap<>();
  private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
  private final Map<String, Long> patience = new HashMap<>();
  private final Map<String, ServiceLoad> loads = new HashMap<>();

  public RouteState(RandomGenerator random, SharedRetryBudget.Limits repeatLimits) {
    this.random = random;
    this.repeatLimits = repeatLimits;
  }

  /** The service that a route's next request goes to. */
  public String pick(Route route) {
    if (route.parts().size() == 1) {
      return route.parts().getFirst().service();
    }
    return pickers
        .computeIfAbsent(route.name(), name -> new WeightedServicePicker(random.nextDouble()))
        .next(route.parts());
  }

  /**
   * The longest time that callers of a route wait; those that wait less have spent the difference
   * on earlier tries.
   */
  public long longestWaitNanos(Route route, long callerWaitNanos) {
    return patience.merge(route.name(), callerWaitNanos, Math::max);
  }

  /** Usual latency of a route. */
  public LatencyBaseline baseline(Route route) {
    return baselines.computeIfAbsent(route.name(), name -> new LatencyBaseline(route));
  }

  /** What the servers of a service hold on average. */
  public ServiceLoad load(String service) {
    return loads.computeIfAbsent(service, name -> new ServiceLoad());
  }

  /** Budget of further sends to a service. */
  public SharedRetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service, name -> new SharedRetryBudget(repeatLimits, random.nextDouble()));
  }
}
