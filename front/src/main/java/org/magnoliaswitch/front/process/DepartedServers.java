package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.version.ServerEntry;

/**
 * Remembers servers that have left. A source that is restored from a copy lists them again until
 * their removal has been repeated; they must not receive requests meanwhile.
 */
final class DepartedServers {
  /**
   * How long a listed server that has left receives nothing after a restore. An entry that its
   * server does not renew expires within three heartbeats of 1.5 s, so one that is still listed
   * then belongs to a live server. Longer holds would keep live servers idle whose entries had only
   * been lost or unreadable before the restore.
   */
  static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** How long a departure is remembered; copies are some seconds old. */
  private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final Map<String, Departure> departures = new HashMap<>();

  /**
   * Departure of a server.
   *
   * @param startedMillis start of the latest incarnation that has left
   * @param atNanos when the list from which it was missing was applied
   */
  private record Departure(long startedMillis, long atNanos) {}

  /** Records that a server is missing from a list. */
  void record(ServerEntry entry, long nowNanos) {
    departures.put(entry.id(), new Departure(entry.startedMillis(), nowNanos));
  }

  /** Whether the incarnation that an entry describes, or a later one, has left. */
  boolean contains(ServerEntry entry) {
    Departure departure = departures.get(entry.id());
    return departure != null && entry.startedMillis() <= departure.startedMillis();
  }

  /** Forgets departures that are older than any copy from which a source is restored. */
  void removeExpired(long nowNanos) {
    departures.values().removeIf(departure -> nowNanos - departure.atNanos() > MEMORY_NANOS);
  }
}
