package org.magnoliaswitch.front.peer;

import java.util.List;

/**
 * What an instance reports of the teams to a seed.
 *
 * @param sequence number of the report on this connection, from 1; the seed echoes it, which shows
 *     the instance how old the seed's next message can be at most
 * @param lastNews number of the last {@link TeamNews} that the instance has processed
 * @param demands requests by team since the last report
 */
public record TeamReport(long sequence, long lastNews, List<Demand> demands) {
  public TeamReport {
    demands = List.copyOf(demands);
  }

  /**
   * The requests of one team.
   *
   * @param admitted requests that the instance has admitted; negative if it has returned more
   *     unsent than it has admitted
   * @param asked all requests
   * @param tokens tokens of the quota that the instance, as another seed, passes on
   */
  public record Demand(String team, int admitted, int asked, double tokens) {
    /** Checks the figures, which come from other instances and change buckets. */
    public Demand {
      if (asked < 0 || !(tokens >= 0 && tokens < Double.POSITIVE_INFINITY)) {
        throw new IllegalArgumentException("a demand of " + asked + " with " + tokens + " tokens");
      }
    }
  }
}
