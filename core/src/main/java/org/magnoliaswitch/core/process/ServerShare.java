package org.magnoliaswitch.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.magnoliaswitch.core.version.BackendServer;

/**
 * This instance's share of a service's servers and of their connections.
 *
 * <p>The servers form a ring in a fixed order. Each instance takes a run of them that begins at its
 * rank's even distance on the ring, so every server is in equally many shares, and one instance
 * more or less moves each run by little. Wrong views make shares uneven, never empty.
 */
public final class ServerShare {
  /** Fewer connections than this per server and instance serve a surge badly. */
  private static final int MIN_CONNECTIONS = 4;

  /** Instances may double during a replacement; their connections must fit all the same. */
  private static final double REPLACEMENT_FACTOR = 2.0;

  /** A choice among fewer servers than this loses most of its worth. */
  private static final int MIN_SHARE_SIZE = 8;

  private ServerShare() {}

  /** The servers of this instance's share. */
  public static List<BackendServer> select(List<BackendServer> servers, Membership.Rank rank) {
    int wanted = size(servers, rank.size());
    if (wanted >= servers.size()) {
      return servers;
    }
    List<BackendServer> ring = new ArrayList<>(servers);
    ring.sort(Comparator.comparing(server -> ringPosition(server.id())));
    int start = (int) ((long) rank.index() * ring.size() / rank.size());
    List<BackendServer> share = new ArrayList<>();
    for (int i = 0; i < wanted; i++) {
      share.add(ring.get((start + i) % ring.size()));
    }
    return share;
  }

  /** Most connections this instance opens to a server of its share. */
  public static int connections(BackendServer server, int total, int share, int instances) {
    double users = REPLACEMENT_FACTOR * instances * share / Math.max(1, total);
    return Math.max(1, (int) (server.connections() / Math.max(1, users)));
  }

  private static int size(List<BackendServer> servers, int instances) {
    int total = servers.size();
    int connections =
        servers.stream().mapToInt(BackendServer::connections).min().orElse(MIN_CONNECTIONS);
    double users = connections / (REPLACEMENT_FACTOR * MIN_CONNECTIONS);
    int wanted = (int) Math.ceil(total * users / Math.max(1, instances));
    return Math.min(total, Math.max(MIN_SHARE_SIZE, wanted));
  }

  /** Mixes data centres and racks, which often number their servers in sequence. */
  private static long ringPosition(String id) {
    return com.google.common.hash.Hashing.murmur3_128()
        .hashString(id, java.nio.charset.StandardCharsets.UTF_8)
        .asLong();
  }
}
