package org.magnoliaswitch.front.process;

import java.util.LinkedHashMap;
import org.magnoliaswitch.front.load.Backpressure;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.version.ServerEntry;

/**
 * What servers asked of their callers before discovery dropped them; used by one thread.
 *
 * <p>An entry lapses while the platform is away and comes back afterwards. The server is the same
 * one, and what it asked for still holds.
 */
final class BackpressureMemory {
  private static final int MOST_KEPT = 1_000;

  private final LinkedHashMap<String, Backpressure> byIncarnation = new LinkedHashMap<>();

  /** Keeps what a server that is no longer listed has asked for. */
  void keep(ServerState server) {
    byIncarnation.putLast(server.entry().incarnation(), server.backpressure());
    if (byIncarnation.size() > MOST_KEPT) {
      byIncarnation.pollFirstEntry();
    }
  }

  /** What a server that has just been listed asked for before, if it was known. */
  Backpressure of(ServerEntry entry) {
    Backpressure known = byIncarnation.remove(entry.incarnation());
    return known == null ? new Backpressure() : known;
  }
}
