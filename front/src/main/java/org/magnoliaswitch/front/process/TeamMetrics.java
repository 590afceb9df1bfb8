package org.magnoliaswitch.front.process;

import java.util.Set;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.QuotaAllocator;
import org.magnoliaswitch.front.peer.TeamNews;

/**
 * Logs which teams a seed closes, opens, and takes for over-demanding, and counts them in gauges.
 * Writes nothing while no team changes its state.
 */
final class TeamMetrics {
  private final EventLog log;
  private final Clocks clocks;
  private volatile TeamNews.States states = TeamNews.States.NONE;

  TeamMetrics(EventLog log, FrontMetrics metrics, Clocks clocks) {
    this.log = log;
    this.clocks = clocks;
    metrics.gauge("teams.closed", () -> states.closed().size());
    metrics.gauge("teams.over.demand", () -> states.overDemand().size());
  }

  /** Logs what distinguishes the states from the last ones. */
  void changed(TeamNews.States next, QuotaAllocator allocator) {
    TeamNews.States before = states;
    states = next;
    logAdded("team_closed", before.closed(), next.closed(), allocator);
    logAdded("team_opened", next.closed(), before.closed(), allocator);
    logAdded("team_over_demand", before.overDemand(), next.overDemand(), allocator);
    logAdded("team_within_rate", next.overDemand(), before.overDemand(), allocator);
  }

  /** Writes one line for each team of one set that another lacks. */
  private void logAdded(
      String event, Set<String> absent, Set<String> present, QuotaAllocator allocator) {
    for (String team : present) {
      if (!absent.contains(team)) {
        allocator.usage(team, clocks.nanos()).ifPresent(usage -> log(event, team, usage));
      }
    }
  }

  private void log(String event, String team, QuotaAllocator.Usage usage) {
    log.stateChange(event)
        .add("team", team)
        .addDecimal("rate_per_s", usage.perSecond())
        .addDecimal("demand_per_s", usage.demandPerSecond())
        .addDecimal("tokens", usage.tokens())
        .addDecimal("capacity", usage.capacity())
        .write();
  }
}
