package org.magnoliaswitch.core.peer;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Calls peers over pooled connections. The number of peers with pooled connections is bounded; the
 * connections of the least recently used peer are closed first.
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
   * @throws IOException if the peer gave no complete reply in time; it may have handled the request
   */
  public PeerMessage call(Address peer, PeerMessage request, int timeoutMillis) throws IOException {
    PeerConnection connection = acquireOrOpen(peer, timeoutMillis);
    boolean complete = false;
    try {
      connection.setReadTimeout(Math.max(1, timeoutMillis));
      connection.write(request);
      PeerMessage reply = connection.read();
      complete = true;
      traffic.messages().addAndGet(2);
      return reply;
    } finally {
      // A connection without a complete reply is closed: a late reply must not be taken for the
      // reply to the next request.
      if (complete) {
        pool(peer, connection);
      } else {
        connection.close();
        closePooled(peer);
      }
    }
  }

  /**
   * Asks a peer for a connection to a backend server. It is new and carries nothing else.
   *
   * @return the connection, or why the peer opened none
   * @throws IOException if the peer gave no complete reply in time
   */
  public ServerRelay.Dialed openServer(Address peer, String serverId, int timeoutMillis)
      throws IOException {
    Socket socket = new Socket();
    boolean opened = false;
    try {
      socket.connect(peer.socket(), Math.max(1, timeoutMillis));
      socket.setSoTimeout(Math.max(1, timeoutMillis));
      PeerConnection connection = PeerConnection.unbuffered(socket, traffic.bytes());
      connection.answerChallenge(secret);
      connection.write(new PeerMessage.OpenServer(serverId));
      if (!(connection.read() instanceof PeerMessage.ServerOpened reply)) {
        throw new FrameException(FrameException.Reason.MALFORMED, "not a reply to this request");
      }
      opened = reply.status() == PeerMessage.ServerOpened.Status.OPENED;
      return opened ? ServerRelay.Dialed.opened(socket) : ServerRelay.Dialed.failed(reply.status());
    } finally {
      if (!opened) {
        socket.close();
      }
    }
  }

  /** Peers with pooled connections. */
  public List<Address> connectedPeers() {
    synchronized (pooled) {
      return List.copyOf(pooled.keySet());
    }
  }

  @Override
  public void close() {
    synchronized (pooled) {
      pooled.values().forEach(connections -> connections.forEach(PeerConnection::close));
      pooled.clear();
    }
  }

  private PeerConnection acquireOrOpen(Address peer, int timeoutMillis) throws IOException {
    synchronized (pooled) {
      Deque<PeerConnection> connections = pooled.get(peer);
      if (connections != null && !connections.isEmpty()) {
        return connections.pop();
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
      Deque<PeerConnection> connections = pooled.computeIfAbsent(peer, p -> new ArrayDeque<>());
      if (connections.size() >= MAX_POOLED_PER_PEER) {
        connection.close();
      } else {
        connections.push(connection);
      }
      if (pooled.size() > MAX_POOLED_PEERS) {
        Address oldest = pooled.keySet().iterator().next();
        pooled.remove(oldest).forEach(PeerConnection::close);
      }
    }
  }

  private void closePooled(Address peer) {
    synchronized (pooled) {
      Deque<PeerConnection> connections = pooled.remove(peer);
      if (connections != null) {
        connections.forEach(PeerConnection::close);
      }
    }
  }
}
