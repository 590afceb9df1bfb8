package org.magnoliaswitch.core.peer;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Calls peers over kept connections; the number of kept ones is bounded, least recent out first.
 */
public final class PeerClient implements AutoCloseable {
  private static final int MAX_KEPT_PEERS = 8;
  private static final int MAX_KEPT_PER_PEER = 2;

  private final PeerSecret secret;
  private final PeerTraffic traffic;
  private final Map<Address, Deque<PeerConnection>> kept = new LinkedHashMap<>(16, 0.75f, true);

  public PeerClient(PeerSecret secret, PeerTraffic traffic) {
    this.secret = secret;
    this.traffic = traffic;
  }

  /**
   * Sends a request and waits for the reply.
   *
   * @throws IOException when the peer gave no whole reply in time; the request may have been
   *     handled
   */
  public PeerMessage call(Address peer, PeerMessage request, int timeoutMillis) throws IOException {
    PeerConnection connection = takeOrOpen(peer, timeoutMillis);
    boolean whole = false;
    try {
      connection.readTimeout(Math.max(1, timeoutMillis));
      connection.write(request);
      PeerMessage reply = connection.read();
      whole = true;
      traffic.messages().addAndGet(2);
      return reply;
    } finally {
      // A connection without a whole reply is closed: a late reply must not meet the next request.
      if (whole) {
        keep(peer, connection);
      } else {
        connection.close();
        forget(peer);
      }
    }
  }

  /** Peers to which a connection is kept. */
  public List<Address> keptPeers() {
    synchronized (kept) {
      return List.copyOf(kept.keySet());
    }
  }

  @Override
  public void close() {
    synchronized (kept) {
      kept.values().forEach(queue -> queue.forEach(PeerConnection::close));
      kept.clear();
    }
  }

  private PeerConnection takeOrOpen(Address peer, int timeoutMillis) throws IOException {
    synchronized (kept) {
      Deque<PeerConnection> queue = kept.get(peer);
      if (queue != null && !queue.isEmpty()) {
        return queue.pop();
      }
    }
    Socket socket = new Socket();
    try {
      socket.connect(peer.socket(), Math.max(1, timeoutMillis));
      socket.setSoTimeout(Math.max(1, timeoutMillis));
      PeerConnection connection = new PeerConnection(socket, traffic.bytes());
      connection.answerChallenge(secret);
      return connection;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  private void keep(Address peer, PeerConnection connection) {
    synchronized (kept) {
      Deque<PeerConnection> queue = kept.computeIfAbsent(peer, p -> new ArrayDeque<>());
      if (queue.size() >= MAX_KEPT_PER_PEER) {
        connection.close();
      } else {
        queue.push(connection);
      }
      if (kept.size() > MAX_KEPT_PEERS) {
        Address oldest = kept.keySet().iterator().next();
        kept.remove(oldest).forEach(PeerConnection::close);
      }
    }
  }

  private void forget(Address peer) {
    synchronized (kept) {
      Deque<PeerConnection> queue = kept.remove(peer);
      if (queue != null) {
        queue.forEach(PeerConnection::close);
      }
    }
  }
}
