package org.magnoliaswitch.core.process;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.PeerClient;
import org.magnoliaswitch.core.peer.PeerMessage;
import org.magnoliaswitch.core.peer.ServerRelay;

/**
 * Opens connections to backend servers through peers. A peer passes bytes on and decides nothing.
 * Peers are asked in random order, so that the connections of many instances are spread over all
 * that can help. Thread-safe.
 */
final class PeerRelays {
  private static final int MAX_MILLIS_PER_PEER = 150;

  /** Peers that must find a server refusing connections; one may have lost its own path. */
  private static final int MIN_WITNESSES = 2;

  /** How long a peer that could not help with a service is not asked again for it. */
  private static final long DECLINED_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Thrown when no peer could help. */
  static final class NoRelayException extends IOException {
    NoRelayException(String serverId) {
      super("no peer opens a connection to " + serverId);
    }
  }

  private record Declined(String incarnation, String service) {}

  private final Membership membership;
  private final PeerClient client;
  private final Clocks clocks;
  private final Map<Declined, Long> declinedUntilNanos = new ConcurrentHashMap<>();

  PeerRelays(Membership membership, PeerClient client, Clocks clocks) {
    this.membership = membership;
    this.client = client;
    this.clocks = clocks;
  }

  /** Whether there is a peer to ask for a service. */
  boolean available(String service) {
    return !candidates(service).isEmpty();
  }

  /**
   * Opens a connection, asking one peer after the other; blocks at most for about the timeout.
   *
   * @throws ConnectException if the server refuses the connections of peers
   * @throws SocketTimeoutException if the server does not accept the connections of peers in time
   * @throws NoRelayException if no peer could help
   */
  Socket open(String service, String serverId, int timeoutMillis) throws IOException {
    long deadline = clocks.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    int refusals = 0;
    boolean silent = false;
    for (Member peer : candidates(service)) {
      long left = TimeUnit.NANOSECONDS.toMillis(deadline - clocks.nanos());
      if (left <= 0 || refusals == MIN_WITNESSES) {
        break;
      }
      ServerRelay.Dialed dialed = ask(peer, serverId, (int) Math.min(left, MAX_MILLIS_PER_PEER));
      switch (dialed.status()) {
        case OPENED -> {
          return dialed.socket().orElseThrow();
        }
        case REFUSED -> refusals++;
        case UNREACHABLE -> silent = true;
        case UNAVAILABLE -> decline(peer, service);
      }
    }
    if (refusals > 0) {
      throw new ConnectException("refused to peers, too");
    }
    if (silent) {
      throw new SocketTimeoutException("silent to peers, too");
    }
    throw new NoRelayException(serverId);
  }

  private ServerRelay.Dialed ask(Member peer, String serverId, int timeoutMillis) {
    try {
      return client.openServer(peer.peerAddress(), serverId, timeoutMillis);
    } catch (IOException e) {
      return ServerRelay.Dialed.failed(PeerMessage.ServerOpened.Status.UNAVAILABLE);
    }
  }

  private void decline(Member peer, String service) {
    long now = clocks.nanos();
    declinedUntilNanos.values().removeIf(until -> now - until >= 0);
    declinedUntilNanos.put(new Declined(peer.incarnation(), service), now + DECLINED_NANOS);
  }

  private List<Member> candidates(String service) {
    long now = clocks.nanos();
    List<Member> candidates = new ArrayList<>(membership.livePeers());
    candidates.removeIf(
        peer -> {
          Long until = declinedUntilNanos.get(new Declined(peer.incarnation(), service));
          return until != null && now - until < 0;
        });
    Collections.shuffle(candidates, ThreadLocalRandom.current());
    return candidates;
  }
}
