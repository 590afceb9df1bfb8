package org.magnoliaswitch.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.magnoliaswitch.core.version.BackendServer;

/**
 * This instance's share of a service's servers and of their connections.
 *
 * <p>The servers form a ring in a fixed order. Each instance takes a run of consecutive servers;
 * the runs begin at even distances by rank, so that every server is in about equally many shares,
 * and adding or removing an instance moves each run only a little. Wrong views of the membership
 * make shares uneven, but never empty.
 */
public final class ServerShare {
  /** Fewer connections than this per server and instance handle a surge badly. */
  private static final int MIN_CONNECTIONS = 4;

  /** The number of instances may double during a replacement; their connections must still fit. */
  private static final double REPLACEMENT_FACTOR = 2.0;

  /** Choosing among fewer servers than this loses most of its benefit. */
  private static final int MIN_SHARE_SIZE = 8;

  private ServerShare() {}

  /** Returns the servers of this instance's share. */
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

  /** Returns the maximum number of connections to a server of the share. */
  public static int connections(BackendServer server, int total, int share, int instances) {
    double instancesPerServer = REPLACEMENT_FACTOR * instances * share / Math.max(1, total);
    return Math.max(1, (int) (server.connections() / Math.max(1, instancesPerServer)));
  }

  private static int size(List<BackendServer> servers, int instances) {
    int total = servers.size();
    int connections =
        servers.stream().mapToInt(BackendServer::connections).min().orElse(MIN_CONNECTIONS);
    double instancesPerServer = connections / (REPLACEMENT_FACTOR * MIN_CONNECTIONS);
    int wanted = (int) Math.ceil(total * instancesPerServer / Math.max(1, instances));
    return Math.min(total, Math.max(MIN_SHARE_SIZE, wanted));
  }

  /**
   * Position on the ring; the hash mixes data centres and racks, which often number their servers
   * in sequence.
   */
  private static long ringPosition(String id) {
    return com.google.common.hash.Hashing.murmur3_128()
        .hashString(id, java.nio.charset.StandardCharsets.UTF_8)
        .asLong();
  }
}
