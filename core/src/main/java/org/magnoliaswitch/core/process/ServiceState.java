package org.magnoliaswitch.core.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaswitch.core.version.Profile;
import org.magnoliaswitch.core.version.Service;

/**
 * A service in force with what this instance keeps for it.
 *
 * @param service its declaration
 * @param profile the profile it picked
 * @param servers servers of this instance's share, draining ones included
 * @param admission bound on requests at once
 * @param counters counters that live on across versions
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
   * Counters that live on across versions.
   *
   * @param latency recent latencies of whole answers
   * @param turn counter of the round-robin policy
   * @param budgets retry budgets by caller group
   */
  public record Counters(
      LatencyWindow latency, AtomicInteger roundRobin, Map<String, RetryBudget> budgets) {
    /** Groups beyond this share one budget, so that callers cannot make state grow. */
    private static final int MAX_GROUPS = 64;

    private static final String SHARED_GROUP = "";

    public Counters() {
      this(new LatencyWindow(), new AtomicInteger(), new ConcurrentHashMap<>());
    }

    /** The budget of a caller group. */
    public RetryBudget budget(String group) {
      String name =
          budgets.containsKey(group) || budgets.size() < MAX_GROUPS ? group : SHARED_GROUP;
      return budgets.computeIfAbsent(name, g -> new RetryBudget());
    }
  }
}
