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
 * Which servers of a large service an instance sends to; pure.
 *
 * <p>Load pattern: many instances that each see few requests, and many servers. Spread over all of
 * them, an instance meets a server once in a minute: its connection is closed and its news are old
 * by then. Over a few, connections stay open, and a health check on one tells the load of the
 * moment. Each instance takes the servers that hash highest together with its own name, so that no
 * two instances take the same ones, and a server that joins or leaves moves no other.
 */
public final class ServerSubset {
  /**
   * Instances that send to one server, on average. Fewer would leave some servers with hardly any;
   * more know each server less, and meet at the few slots of one that seems free to all of them.
   */
  private static final int SENDERS = 13;

  /** So few instances know all servers well, and meet seldom: each sends to all of them. */
  private static final int FEW_INSTANCES = 20;

  /** Fewest servers that an instance sends to: some may be gone, slow or cold at the same time. */
  static final int LEAST = 8;

  /**
   * Fewest of them that can be reached; others take the place of missing ones up to this number.
   */
  static final int LEAST_REACHABLE = 6;

  /** Most servers that an instance sends to while it cannot tell how many others there are. */
  private static final int AT_START = 16;

  /** Share of them that lie in the instance's own data centre, if there are as many. */
  static final double NEAR_SHARE = 2 / 3.0;

  private ServerSubset() {}

  /**
   * How many servers of a service an instance sends to.
   *
   * @param servers how many the service has
   * @param instances how many instances serve
   */
  public static int size(int servers, int instances) {
    if (instances <= FEW_INSTANCES) {
      return servers;
    }
    double even = Math.ceil(SENDERS * (double) servers / instances);
    return (int) Math.min(servers, Math.max(LEAST, even));
  }

  /** The same right after a start, when all instances may have started at once. */
  public static int initialSize(int servers) {
    return Math.min(servers, AT_START);
  }

  /**
   * The servers that an instance sends to.
   *
   * @param size how many
   * @param entry what discovery says of a server
   * @param instance name of the instance
   * @param dataCentre where it runs
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
    long near = Math.round(NEAR_SHARE * size);
    List<T> sorted = new ArrayList<>(servers);
    sorted.sort(
        Comparator.comparingLong(server -> NameHash.of(instance, entry.apply(server).id())));
    List<T> chosen = new ArrayList<>(size);
    for (T server : sorted) {
      if (chosen.size() < near && entry.apply(server).dataCentre().equals(dataCentre)) {
        chosen.add(server);
      }
    }
    for (T server : sorted) {
      if (chosen.size() < size && !chosen.contains(server)) {
        chosen.add(server);
      }
    }
    return chosen;
  }

  /**
   * A part of the servers, with others in place of those that cannot be reached, up to a few. When
   * a data centre falls silent, most servers of an instance there are gone, and its callers would
   * be refused while servers elsewhere have room. With as many as before, all instances would press
   * on the servers that are left and meet there. Those that are replaced stay in the part, to be
   * found back.
   *
   * @param unreachable servers to which no connection could be opened lately
   * @param choose chooses a part of a list, the same for the same list
   */
  public static <T> List<T> withReplacements(
      List<T> servers, Set<T> unreachable, UnaryOperator<List<T>> choose) {
    Set<T> used = new LinkedHashSet<>(choose.apply(servers));
    Predicate<T> gone = unreachable::contains;
    long left = used.stream().filter(gone.negate()).count();
    if (left == used.size() || left >= LEAST_REACHABLE) {
      return new ArrayList<>(used);
    }
    List<T> reachable = servers.stream().filter(gone.negate()).toList();
    choose.apply(reachable).stream()
        .filter(server -> !used.contains(server))
        .limit(LEAST_REACHABLE - left)
        .toList()
        .forEach(used::add);
    return new ArrayList<>(used);
  }
}
