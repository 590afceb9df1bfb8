package org.magnoliaswitch.front.process;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.QuotaAllocator;
import org.magnoliaswitch.front.peer.TeamNews;

/** A seed that has told an instance once, just now, what it may admit. */
public final class GrantedQuotas {
  private final TeamQuotas.QuotaLinks links = new TeamQuotas.QuotaLinks(List.of("seed"));

  /** Creates the connection; no team may admit anything beyond the given allowances. */
  public GrantedQuotas(Clocks clocks, Map<String, Integer> allowances) {
    SeedLink link = new SeedLink();
    ConfigurationConfirmation.Moment now = new ConfigurationConfirmation(clocks).now();
    link.report(List.of(), now);
    link.received(
        new TeamNews(
            1,
            1,
            0,
            Optional.of(new TeamNews.States(allowances.keySet(), Set.of())),
            allowances.entrySet().stream()
                .map(e -> new QuotaAllocator.Allowance(e.getKey(), 0, e.getValue()))
                .toList(),
            Map.of()),
        now);
    links.set(0, link);
  }

  /** Returns the connections, with which the instance is created. */
  public TeamQuotas.QuotaLinks links() {
    return links;
  }
}
