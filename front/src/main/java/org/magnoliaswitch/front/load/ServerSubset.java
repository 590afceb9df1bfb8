package org.magnoliaswitch.front.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.magnoliaswitch.front.version.ServerEntry;

/**
 * Selects the subset of a large service's servers that an instance sends to. Stateless and free of
 * I/O.
 *
 * <p>Load pattern: many instances with few requests each, and many servers. If an instance spread
 * its requests over all servers, it would use each of them about once a minute, when its connection
 * is closed and its load sample outdated. With a subset, connections stay open, and a single probe
 * shows the current load. Each instance ranks the servers by a hash of its own name and theirs
 * (rendezvous hashing) and takes the first ones, so that subsets differ between instances, and a
 * server that joins or leaves affects no other.
 */
public final class ServerSubset {
  /**
   * Average number of instances that send to one server. With fewer, some servers get hardly any;
   * with more, each knows its servers less well, and many compete for the few slots of a server
   * that appears free to all of them.
   */
  private static final int SENDERS_PER_SERVER = 13;

  /**
   * Up to this number of instances, each of them knows all servers well and collisions are rare, so
   * each sends to all servers.
   */
  private static final int MAX_INSTANCES_WITHOUT_SUBSETS = 20;

  /** Minimum size of a subset: some servers may be gone, slow or cold at the same time. */
  static final int MIN_SIZE = 8;

  /**
   * Minimum number of available servers in a subset; unavailable (unreachable or paused) servers
   * are replaced up to it.
   */
  static final int MIN_AVAILABLE = 6;

  /** Maximum size of a subset while the number of instances is unknown. */
  private static final int INITIAL_SIZE = 16;

  /** Share of a subset in the instance's own data centre, if it has enough servers. */
  static final double LOCAL_SHARE = 2 / 3.0;

  private ServerSubset() {}

  /**
   * Returns the number of servers that an instance sends to.
   *
   * @param servers number of servers of the service
   * @param instances number of serving instances
   */
  public static int size(int servers, int instances) {
    if (instances <= MAX_INSTANCES_WITHOUT_SUBSETS) {
      return servers;
    }
    double evenSize = Math.ceil(SENDERS_PER_SERVER * (double) servers / instances);
    return (int) Math.min(servers, Math.max(MIN_SIZE, evenSize));
  }

  /**
   * Returns the size of a subset right after a start, when all instances may have started at once.
   */
  public static int initialSize(int servers) {
    return Math.min(servers, INITIAL_SIZE);
  }

  /**
   * Selects the servers that an instance sends to.
   *
   * @param size size of the subset
   * @param entry returns the discovery entry of a server
   * @param instance name of the instance
   * @param dataCentre data centre of the instance
   */
  public static <T> List<T> select(
      List<T> servers,
      int size,
      Function<T, ServerEntry> entry,
      String instance,
      String dataCentre) {
    if (servers.size() <= size) {
      return servers;
    }
    long localCount = Math.round(LOCAL_SHARE * size);
    List<T> byHash = new ArrayList<>(servers);
    byHash.sort(
        Comparator.comparingLong(server -> NameHash.of(instance, entry.apply(server).id())));
    List<T> selected = new ArrayList<>(size);
    for (T server : byHash) {
      if (selected.size() < localCount && entry.apply(server).dataCentre().equals(dataCentre)) {
        selected.add(server);
      }
    }
    for (T server : byHash) {
      if (selected.size() < size && !selected.contains(server)) {
        selected.add(server);
      }
    }
    return selected;
  }

  /**
   * Selects a subset with replacements for unavailable servers, up to {@link #MIN_AVAILABLE}. When
   * a data centre becomes unreachable, an instance there loses most of its servers, and its callers
   * would be refused although servers elsewhere have capacity. If subsets kept their full size, all
   * instances would compete for the remaining servers. Replaced servers stay in the subset, so that
   * they are noticed when they return.
   *
   * @param unavailable servers that were recently unreachable or that requested a pause from this
   *     instance
   * @param selector selects a subset of a list, deterministically
   */
  public static <T> List<T> withReplacements(
      List<T> servers, Set<T> unavailable, UnaryOperator<List<T>> selector) {
    Set<T> selected = new LinkedHashSet<>(selector.apply(servers));
    Predicate<T> isUnavailable = unavailable::contains;
    long availableCount = selected.stream().filter(isUnavailable.negate()).count();
    if (availableCount == selected.size() || availableCount >= MIN_AVAILABLE) {
      return new ArrayList<>(selected);
    }
    List<T> available = servers.stream().filter(isUnavailable.negate()).toList();
    selector.apply(available).stream()
        .filter(server -> !selected.contains(server))
        .limit(MIN_AVAILABLE - availableCount)
        .toList()
        .forEach(selected::add);
    return new ArrayList<>(selected);
  }
}
