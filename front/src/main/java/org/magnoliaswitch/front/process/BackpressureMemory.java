package org.magnoliaswitch.front.process;

import java.util.LinkedHashMap;
import org.magnoliaswitch.front.load.Backpressure;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.version.ServerEntry;

/**
 * Keeps the backpressure of servers that discovery no longer lists; used by one thread.
 *
 * <p>An entry expires while the platform is unavailable and reappears afterwards. It is the same
 * incarnation of the server, so the limits and pauses that it requested still apply.
 */
final class BackpressureMemory {
  private static final int MAX_ENTRIES = 1_000;

  private final LinkedHashMap<String, Backpressure> byIncarnation = new LinkedHashMap<>();

  /** Stores the backpressure of a server that is no longer listed. */
  void store(ServerState server) {
    byIncarnation.putLast(server.entry().incarnation(), server.backpressure());
    if (byIncarnation.size() > MAX_ENTRIES) {
      byIncarnation.pollFirstEntry();
    }
  }

  /**
   * Removes and returns the stored backpressure of a newly listed server, or a new one without
   * limits if none is stored.
   */
  Backpressure take(ServerEntry entry) {
    Backpressure stored = byIncarnation.remove(entry.incarnation());
    return stored == null ? new Backpressure() : stored;
  }
}
