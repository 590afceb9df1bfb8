package org.magnoliaswitch.front.load;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** What instances and seeds tell each other about teams in a simulation. */
final class QuotaMessages {
  private QuotaMessages() {}

  /** A report that the seed has not echoed yet. */
  record Sent(long sequence, long at) {}

  /** The part of a report that concerns one team. */
  record Demand(String team, QuotaAllowance.Usage usage, double tokens) {}

  /** The part of a seed's message that concerns teams. */
  record News(
      long number,
      long echoed,
      Set<String> closed,
      List<QuotaAllocator.Allowance> allowances,
      Map<String, Double> requested) {}

  /** Result of a request. */
  enum Result {
    ADMITTED,
    OVER_QUOTA,
    UNKNOWN
  }
}
