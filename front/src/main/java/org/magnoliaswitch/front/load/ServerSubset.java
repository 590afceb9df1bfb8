package org.magnoliaswitch.front.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
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
  /** Servers of a large service that an instance sends to. */
  static final int SIZE = 16;

  /** Services with no more servers than this are used whole: all instances know them well. */
  static final int WHOLE = 32;

  /** How many of them lie in the instance's own data centre, if there are as many. */
  static final int NEAR = 11;

  private ServerSubset() {}

  /**
   * The servers that an instance sends to.
   *
   * @param entry what discovery says of a server
   * @param instance name of the instance
   * @param dataCentre where it runs
   */
  public static <T> List<T> of(
      List<T> servers, Function<T, ServerEntry> entry, String instance, String dataCentre) {
    if (servers.size() <= WHOLE) {
      return servers;
    }
    List<T> sorted = new ArrayList<>(servers);
    sorted.sort(Comparator.comparingLong(server -> rank(instance, entry.apply(server).id())));
    List<T> chosen = new ArrayList<>(SIZE);
    for (T server : sorted) {
      if (chosen.size() < NEAR && entry.apply(server).dataCentre().equals(dataCentre)) {
        chosen.add(server);
      }
    }
    for (T server : sorted) {
      if (chosen.size() < SIZE && !chosen.contains(server)) {
        chosen.add(server);
      }
    }
    return chosen;
  }

  /** Mixes both names well: servers' names often differ in one digit only. */
  private static long rank(String instance, String server) {
    long mixed = instance.hashCode() * 0x9E3779B97F4A7C15L + server.hashCode();
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return mixed ^ (mixed >>> 32);
  }
}
