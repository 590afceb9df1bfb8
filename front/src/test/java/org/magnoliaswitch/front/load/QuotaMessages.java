package org.magnoliaswitch.front.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What instances and seeds tell each other about teams in a simulation. */
final class QuotaMessages {
  private QuotaMessages() {}

  /** When the report that a seed's last message echoes was sent. */
  static final class Echoes {
    private final Deque<Sent> sent = new ArrayDeque<>();
    private long validSince = Long.MIN_VALUE / 2;

    private record Sent(long sequence, long at) {}

    void sent(long sequence, long at) {
      sent.addLast(new Sent(sequence, at));
    }

    void echoed(long sequence) {
      while (!sent.isEmpty() && sent.getFirst().sequence() < sequence) {
        sent.removeFirst();
      }
      if (!sent.isEmpty() && sent.getFirst().sequence() == sequence) {
        validSince = sent.getFirst().at();
      }
    }

    long validSince() {
      return validSince;
    }
  }

  /** The part of a report that concerns one team. */
  record Demand(String team, QuotaAllowance.Usage usage, double tokens) {}

  /** Takes what was not reported yet out of the allowances. */
  static List<Demand> takeDemands(Map<String, QuotaAllowance> allowances) {
    List<Demand> demands = new ArrayList<>();
    allowances.forEach(
        (team, allowance) -> {
          QuotaAllowance.Usage usage = allowance.takeUsage();
          if (!usage.isEmpty()) {
            demands.add(new Demand(team, usage, 0));
          }
        });
    return demands;
  }

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
    /** Refused: the team is closed, and the allowance of the instance is used up. */
    CLOSED,
    /** Refused: the team is open, and the instance has used up what it may admit until it hears. */
    OPEN_USED_UP,
    /** Refused: the seed does not answer, and the allowance of the instance is used up. */
    UNANSWERED,
    /** Refused: no seed is current. */
    UNKNOWN
  }
}
