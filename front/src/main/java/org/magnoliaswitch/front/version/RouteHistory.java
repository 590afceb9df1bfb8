package org.magnoliaswitch.front.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;

/**
 * Tracks which routes and teams the last configuration versions changed, so that an instance which
 * has one of them is sent the difference only. Only names are stored, since many versions of a
 * large configuration would exhaust the memory.
 */
public final class RouteHistory {
  private static final int MAX_STEPS = 64;

  /**
   * A change of the configuration in force on this instance.
   *
   * @param before version before the change
   * @param routes names of the changed routes
   * @param teams names of the changed teams
   */
  private record Step(long before, Set<String> routes, Set<String> teams) {}

  private final Deque<Step> newestFirst = new ArrayDeque<>();
  private RouteTable newest = RouteTable.EMPTY;

  /** Adds the configuration in force; returns whether it is newer than the last one. */
  public boolean add(RouteTable next) {
    if (next.version() <= newest.version()) {
      return false;
    }
    newestFirst.addFirst(
        new Step(
            newest.version(),
            RouteChanges.differingNames(newest, next),
            TeamChanges.differingNames(newest.teams(), next.teams())));
    if (newestFirst.size() > MAX_STEPS) {
      newestFirst.removeLast();
    }
    newest = next;
    return true;
  }

  /** Returns the newest version. */
  public long version() {
    return newest.version();
  }

  /**
   * Returns the update to the newest version. A version that was never in force on this instance
   * may contain a route that a later version changed back, so its holder is sent the full
   * configuration.
   *
   * @param version version that the receiver has; 0 if none
   */
  public RouteUpdate since(long version) {
    Set<String> routes = new HashSet<>();
    Set<String> teams = new HashSet<>();
    Iterator<Step> steps = newestFirst.iterator();
    while (version > 0 && steps.hasNext()) {
      Step step = steps.next();
      routes.addAll(step.routes());
      teams.addAll(step.teams());
      if (step.before() == version) {
        return new RouteUpdate.Changes(RouteChanges.of(version, newest, routes, teams));
      }
    }
    return new RouteUpdate.Full(newest);
  }
}
