package org.magnoliaswitch.front.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliaswitch.front.load.QuotaAllocator;

/**
 * What a seed tells a listener about the teams.
 *
 * @param number number of the message on this connection, from 1
 * @param echoed sequence of the last report that the seed has received from the listener; 0 if none
 * @param confirmationAgeMillis time since the seed's configuration was confirmed to be the newest,
 *     by monotonic and by wall-clock time
 * @param states states of the teams, if they have changed since the last message
 * @param allowances allowances of the listener that have changed
 * @param requestedTokens tokens of quotas that the listener, as another seed, should pass on
 */
public record TeamNews(
    long number,
    long echoed,
    long confirmationAgeMillis,
    Optional<States> states,
    List<QuotaAllocator.Allowance> allowances,
    Map<String, Double> requestedTokens) {
  /** Checks the figures, which come from other instances and change buckets. */
  public TeamNews {
    for (double tokens : requestedTokens.values()) {
      if (!(tokens >= 0 && tokens < Double.POSITIVE_INFINITY)) {
        throw new IllegalArgumentException("a request of " + tokens + " tokens");
      }
    }
    allowances = List.copyOf(allowances);
    requestedTokens = Map.copyOf(requestedTokens);
  }

  /**
   * The teams whose state differs from the usual.
   *
   * @param closed teams of which only requests within an allowance may be admitted
   * @param overDemand teams that ask for more than they are entitled to
   */
  public record States(Set<String> closed, Set<String> overDemand) {
    /** No team differs. */
    public static final States NONE = new States(Set.of(), Set.of());

    public States {
      closed = Set.copyOf(closed);
      overDemand = Set.copyOf(overDemand);
    }
  }
}
