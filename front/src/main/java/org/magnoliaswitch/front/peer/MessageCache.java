package org.magnoliaswitch.front.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.RouteHistory;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.RouteUpdate;
import org.magnoliaswitch.front.version.ServerList;

/**
 * What listeners are sent, encoded once for all that lack the same. Nearly all of them were told
 * the same before: a seed of a large system would spend most of its processor time on comparing and
 * encoding the same for each. Used by one thread.
 */
final class MessageCache {
  /** Stands for all versions from which only the whole configuration leads on. */
  private static final long ANY_VERSION = 0;

  private final RouteHistory history = new RouteHistory();
  private final Map<Long, byte[]> updatesByBase = new HashMap<>();
  private @Nullable Encoded last;

  /** What a message depends on; a version names one list and one configuration of this instance. */
  private record Told(
      long ageMillis,
      long serversBefore,
      long serversNow,
      long routesBefore,
      long routesNow,
      int instances,
      Evacuations evacuations,
      List<CrashReport> crashes) {}

  /** A message and what it was made from. */
  private record Encoded(Told told, byte[] bytes) {}

  /** Notes the configuration in force here, so that differences lead from it. */
  void inForce(RouteTable routes) {
    if (history.add(routes)) {
      updatesByBase.clear();
    }
  }

  /** What leads a listener from the version that it has to the one in force here. */
  byte[] update(RouteTable routes, long held) {
    inForce(routes);
    RouteUpdate update = history.since(held);
    long base = update instanceof RouteUpdate.Changes ? held : ANY_VERSION;
    return updatesByBase.computeIfAbsent(
        base, unused -> RouteUpdateCodec.encode(Optional.of(update)));
  }

  /**
   * The message, but for its end, to a listener that was told a list and a version before.
   *
   * @param instances how many instances there are
   */
  byte[] message(
      PeerHub.Snapshot now,
      int instances,
      ServerList toldServers,
      long toldRoutes,
      List<CrashReport> crashes) {
    Told told =
        new Told(
            now.ageMillis(),
            toldServers.version(),
            now.servers().version(),
            toldRoutes,
            now.routes().version(),
            instances,
            now.evacuations(),
            crashes);
    if (last == null || !last.told().equals(told)) {
      boolean lacksRoutes = now.routes().version() > toldRoutes;
      PeerUpdate message =
          new PeerUpdate(
              now.ageMillis(),
              instances,
              lacksRoutes ? Optional.of(now.routes()) : Optional.empty(),
              ServerChanges.between(toldServers, now.servers()),
              now.evacuations(),
              crashes,
              Optional.empty(),
              Optional.empty());
      last = new Encoded(told, PeerUpdateCodec.encode(message));
    }
    return last.bytes();
  }
}
