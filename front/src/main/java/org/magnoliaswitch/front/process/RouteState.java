package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.load.ServiceLoad;
import org.magnoliaswitch.front.load.SharedRetryBudget;
import org.magnoliaswitch.front.load.WeightedServicePicker;
import org.magnoliaswitch.front.version.Route;

/** State of routes and services that outlives a configuration version; used by one thread. */
public final class RouteState {
  /**
   * Multiple of a route's timeout up to which a stated wait is remembered. Callers are known to
   * wait more than twice the timeout; a single huge value that is remembered makes all later
   * requests of its route count as late.
   */
  private static final int MAX_WAIT_PER_TIMEOUT = 10;

  private final RandomGenerator random;
  private final SharedRetryBudget.Limits retryLimits;
  private final Map<String, WeightedServicePicker> pickers = new HashMap<>();
  private final Map<String, LatencyBaseline> baselines = new HashMap<>();
  private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
  private final Map<String, Long> longestWaits = new HashMap<>();
  private final Map<String, ServiceLoad> loads = new HashMap<>();

  public RouteState(RandomGenerator random, SharedRetryBudget.Limits retryLimits) {
    this.random = random;
    this.retryLimits = retryLimits;
  }

  /** Returns the service that the next request of a route goes to. */
  public String pick(Route route) {
    if (route.services().size() == 1) {
      return route.services().getFirst().service();
    }
    return pickers
        .computeIfAbsent(route.name(), name -> new WeightedServicePicker(random.nextDouble()))
        .next(route.services());
  }

  /**
   * Records how long a caller of a route is willing to wait, and returns the longest time that any
   * caller of the route, including this one, has been willing to wait. A caller that waits less has
   * spent the difference on earlier attempts. A wait of more than ten timeouts of the route is not
   * recorded, so it can be longer than the result.
   */
  public long longestWaitNanos(Route route, long callerWaitNanos) {
    boolean plausible = callerWaitNanos / MAX_WAIT_PER_TIMEOUT <= route.timeoutNanos();
    return longestWaits.merge(route.name(), plausible ? callerWaitNanos : 0, Math::max);
  }

  /** Returns the expected latency of a route on an undisturbed server. */
  public LatencyBaseline baseline(Route route) {
    return baselines.computeIfAbsent(route.name(), name -> new LatencyBaseline(route));
  }

  /** Returns the average load of a service's servers. */
  public ServiceLoad load(String service) {
    return loads.computeIfAbsent(service, name -> new ServiceLoad());
  }

  /** Returns the budget of further attempts for a service. */
  public SharedRetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service, name -> new SharedRetryBudget(retryLimits, random.nextDouble()));
  }
}
