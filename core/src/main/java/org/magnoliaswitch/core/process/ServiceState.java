package org.magnoliaswitch.core.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaswitch.core.version.Profile;
import org.magnoliaswitch.core.version.Service;

/**
 * A service in force with the state that this instance keeps for it.
 *
 * @param service declaration of the service
 * @param profile profile to which the service refers
 * @param servers servers of this instance's share, including draining ones
 * @param admission bound on concurrent requests
 * @param counters counters that are kept across versions
 */
public record ServiceState(
    Service service,
    Profile profile,
    List<ServerHandle> servers,
    ServiceAdmission admission,
    Counters counters) {
  public ServiceState {
    servers = List.copyOf(servers);
  }

  /**
   * Counters that are kept across versions.
   *
   * @param latency recent latencies of complete answers
   * @param roundRobin counter of the round-robin policy
   * @param budgets retry budgets by caller group
   */
  public record Counters(
      LatencyWindow latency, AtomicInteger roundRobin, Map<String, RetryBudget> budgets) {
    /**
     * Caller groups beyond this number share one budget, so that callers cannot make the state
     * grow.
     */
    private static final int MAX_GROUPS = 64;

    private static final String SHARED_GROUP = "";

    public Counters() {
      this(new LatencyWindow(), new AtomicInteger(), new ConcurrentHashMap<>());
    }

    /** Returns the retry budget of a caller group. */
    public RetryBudget budget(String group) {
      String name =
          budgets.containsKey(group) || budgets.size() < MAX_GROUPS ? group : SHARED_GROUP;
      return budgets.computeIfAbsent(name, g -> new RetryBudget());
    }
  }
}
