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
  private static final int MAX_POOLED_PEERS = 8;
  private static final int MAX_POOLED_PER_PEER = 2;

  private final PeerSecret secret;
  private final PeerTraffic traffic;
  private final Map<Address, Deque<PeerConnection>> pooled = new LinkedHashMap<>(16, 0.75f, true);

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
    PeerConnection connection = acquireOrOpen(peer, timeoutMillis);
    boolean whole = false;
    try {
      connection.setReadTimeout(Math.max(1, timeoutMillis));
      connection.write(request);
      PeerMessage reply = connection.read();
      whole = true;
      traffic.messages().addAndGet(2);
      return reply;
    } finally {
      // A connection without a whole reply is closed: a late reply must not meet the next request.
      if (whole) {
        pool(peer, connection);
      } else {
        connection.close();
        closePooled(peer);
      }
    }
  }

  /** Peers to which a connection is kept. */
  public List<Address> connectedPeers() {
    synchronized (pooled) {
      return List.copyOf(pooled.keySet());
    }
  }

  @Override
  public void close() {
    synchronized (pooled) {
      pooled.values().forEach(queue -> queue.forEach(PeerConnection::close));
      pooled.clear();
    }
  }

  private PeerConnection acquireOrOpen(Address peer, int timeoutMillis) throws IOException {
    synchronized (pooled) {
      Deque<PeerConnection> queue = pooled.get(peer);
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

  private void pool(Address peer, PeerConnection connection) {
    synchronized (pooled) {
      Deque<PeerConnection> queue = pooled.computeIfAbsent(peer, p -> new ArrayDeque<>());
      if (queue.size() >= MAX_POOLED_PER_PEER) {
        connection.close();
      } else {
        queue.push(connection);
      }
      if (pooled.size() > MAX_POOLED_PEERS) {
        Address oldest = pooled.keySet().iterator().next();
        pooled.remove(oldest).forEach(PeerConnection::close);
      }
    }
  }

  private void closePooled(Address peer) {
    synchronized (pooled) {
      Deque<PeerConnection> queue = pooled.remove(peer);
      if (queue != null) {
        queue.forEach(PeerConnection::close);
      }
    }
  }
}
