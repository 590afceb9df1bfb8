package org.magnoliaswitch.front.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.RouteHistory;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.RouteUpdate;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Caches encoded messages, so that a message is encoded once for all listeners that need the same
 * content. Nearly all listeners were sent the same content before; without the cache, a seed of a
 * large system would spend most of its processor time comparing and encoding identical state for
 * each of them. Not thread-safe.
 */
final class MessageCache {
  /** Cache key for all versions whose changes are unknown, which need the full configuration. */
  private static final long FULL_CONFIGURATION = 0;

  private final RouteHistory history = new RouteHistory();
  private final Map<Long, byte[]> updatesByBase = new HashMap<>();
  private @Nullable CachedMessage lastMessage;

  /**
   * The inputs that determine a message. Within one instance, a revision identifies exactly one
   * server list, and a version one configuration.
   */
  private record MessageKey(
      long ageMillis,
      Revision serversBefore,
      Revision serversAfter,
      long routesBefore,
      long routesAfter,
      int instances,
      Evacuations evacuations,
      List<CrashReport> crashes) {}

  /** An encoded message and the inputs that it was made from. */
  private record CachedMessage(MessageKey key, byte[] bytes) {}

  /** Adds the configuration in force to the history from which changes are computed. */
  void recordInForce(RouteTable routes) {
    if (history.add(routes)) {
      updatesByBase.clear();
    }
  }

  /** Encoded update from the version that a listener holds to the configuration in force. */
  byte[] update(RouteTable routes, long held) {
    recordInForce(routes);
    RouteUpdate update = history.since(held);
    long base = update instanceof RouteUpdate.Changes ? held : FULL_CONFIGURATION;
    return updatesByBase.computeIfAbsent(
        base, unused -> RouteUpdateCodec.encode(Optional.of(update)));
  }

  /**
   * Encoded message to a listener, without the tail that differs between listeners.
   *
   * @param current the state of this instance
   * @param instances number of instances
   * @param sentServers server list that the listener was sent last
   * @param sentRoutesVersion configuration version that the listener was sent last
   */
  byte[] message(
      PeerHub.Snapshot current,
      int instances,
      ServerList sentServers,
      long sentRoutesVersion,
      List<CrashReport> crashes) {
    MessageKey key =
        new MessageKey(
            current.ageMillis(),
            sentServers.revision(),
            current.servers().revision(),
            sentRoutesVersion,
            current.routes().version(),
            instances,
            current.evacuations(),
            crashes);
    if (lastMessage == null || !lastMessage.key().equals(key)) {
      boolean routesOutdated = current.routes().version() > sentRoutesVersion;
      PeerUpdate message =
          new PeerUpdate(
              current.ageMillis(),
              instances,
              routesOutdated ? Optional.of(current.routes()) : Optional.empty(),
              ServerChanges.between(sentServers, current.servers()),
              current.evacuations(),
              crashes,
              Optional.empty(),
              Optional.empty());
      lastMessage = new CachedMessage(key, PeerUpdateCodec.encode(message));
    }
    return lastMessage.bytes();
  }
}
