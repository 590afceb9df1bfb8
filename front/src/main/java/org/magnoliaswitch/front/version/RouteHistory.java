package org.magnoliaswitch.front.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;

/**
 * Which routes the last configuration versions changed, so that an instance which has one of them
 * is sent the difference only. Keeps names, not versions: a large configuration in many versions
 * would fill the memory.
 */
public final class RouteHistory {
  private static final int MAX_STEPS = 64;

  /**
   * One change of the configuration in force here.
   *
   * @param before version before it
   * @param names routes that it touched
   */
  private record Step(long before, Set<String> names) {}

  private final Deque<Step> newestFirst = new ArrayDeque<>();
  private RouteTable newest = RouteTable.EMPTY;

  /** Takes the configuration in force; returns whether it is another than before. */
  public boolean add(RouteTable next) {
    if (next.version() <= newest.version()) {
      return false;
    }
    newestFirst.addFirst(new Step(newest.version(), RouteChanges.names(newest, next)));
    if (newestFirst.size() > MAX_STEPS) {
      newestFirst.removeLast();
    }
    newest = next;
    return true;
  }

  /** The newest version. */
  public long version() {
    return newest.version();
  }

  /**
   * What leads to the newest version. A version that was never in force here may hold a route that
   * a later one changed back, so from there only the whole configuration leads on.
   *
   * @param version version that the receiver has; 0 if none
   */
  public RouteUpdate since(long version) {
    Set<String> names = new HashSet<>();
    Iterator<Step> steps = newestFirst.iterator();
    while (version > 0 && steps.hasNext()) {
      Step step = steps.next();
      names.addAll(step.names());
      if (step.before() == version) {
        return new RouteUpdate.Changes(RouteChanges.of(version, newest, names));
      }
    }
    return new RouteUpdate.Full(newest);
  }
}
