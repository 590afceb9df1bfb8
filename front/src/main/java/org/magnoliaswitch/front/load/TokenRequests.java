package org.magnoliaswitch.front.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * What another seed asks this one to pass on of its tokens, less the tokens that are on their way
 * to it. Without these, tokens would be passed on once more for each report until the other seed
 * asks for less; those beyond the capacity of its bucket would be lost. Not thread-safe.
 */
public final class TokenRequests {
  private final Deque<Passed> onTheWay = new ArrayDeque<>();
  private Map<String, Double> requested = Map.of();

  /** Tokens in a report that the other seed may not have processed. */
  private record Passed(long sequence, String team, double tokens) {}

  /**
   * Replaces the requests by those of the other seed's latest message.
   *
   * @param echoed sequence of the last report that the other seed had processed
   */
  public void update(Map<String, Double> tokensByTeam, long echoed) {
    requested = tokensByTeam;
    while (!onTheWay.isEmpty() && onTheWay.getFirst().sequence() <= echoed) {
      onTheWay.removeFirst();
    }
  }

  /** Whether tokens of any team are asked for. */
  public boolean isEmpty() {
    return requested.isEmpty();
  }

  /** Returns the tokens that are still to be passed on, by team; none of them is 0. */
  public Map<String, Double> missing() {
    Map<String, Double> missing = new HashMap<>(requested);
    onTheWay.forEach(passed -> missing.merge(passed.team(), -passed.tokens(), Double::sum));
    missing.values().removeIf(tokens -> tokens <= 0);
    return missing;
  }

  /** Records tokens that the report with the given sequence passes on. */
  public void passedOn(String team, double tokens, long sequence) {
    onTheWay.addLast(new Passed(sequence, team, tokens));
  }
}
