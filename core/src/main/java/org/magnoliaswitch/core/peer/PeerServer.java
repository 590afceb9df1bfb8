package org.magnoliaswitch.core.peer;

import com.google.common.flogger.FluentLogger;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections of peers and serves each on its own virtual thread. */
public final class PeerServer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int HANDSHAKE_TIMEOUT_MILLIS = 2_000;
  private static final int IDLE_TIMEOUT_MILLIS = 300_000;
  private static final int CHALLENGE_BYTES = 16;
  private static final int MAX_CONNECTIONS = 1_024;
  private static final int MAX_RELAYED = 256;

  private final ServerSocket listener;
  private final PeerSecret secret;
  private final PeerHandler handler;
  private final ServerRelay relay;
  private final PeerTraffic traffic;
  private final RelayedCount relayed = new RelayedCount();
  private final SecureRandom random = new SecureRandom();
  private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();

  /** Creates a server that opens no connections on behalf of peers. */
  public PeerServer(Address address, PeerSecret secret, PeerHandler handler, PeerTraffic traffic)
      throws IOException {
    this(address, secret, handler, ServerRelay.NONE, traffic);
  }

  /**
   * Creates a server.
   *
   * @param relay opens connections to backend servers on behalf of peers
   */
  public PeerServer(
      Address address,
      PeerSecret secret,
      PeerHandler handler,
      ServerRelay relay,
      PeerTraffic traffic)
      throws IOException {
    this.relay = relay;
    this.secret = secret;
    this.handler = handler;
    this.traffic = traffic;
    this.listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(address.host(), address.port()));
    Thread.ofVirtual().name("peer-accept").start(this::acceptConnections);
  }

  /** The port on which the server listens, also if the settings specify port 0. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Number of connections to backend servers that are open on behalf of peers. */
  public int relayed() {
    return relayed.count();
  }

  /** Waits until no connection is open on behalf of peers; returns whether that came in time. */
  public boolean awaitNoRelayed(long timeoutMillis) {
    return relayed.awaitNone(timeoutMillis);
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException e) {
      logger.atFine().log("event=peer_listener_close_failed cause=%s", e);
    }
    connections.forEach(PeerConnection::close);
  }

  private void acceptConnections() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        if (connections.size() >= MAX_CONNECTIONS) {
          socket.close();
        } else {
          Thread.ofVirtual().name("peer-serve").start(() -> serve(socket));
        }
      } catch (IOException e) {
        logger.atFine().log("event=peer_accept_ended cause=%s", e);
      }
    }
  }

  private void serve(Socket socket) {
    try (PeerConnection connection = new PeerConnection(socket, traffic.bytes())) {
      connections.add(connection);
      try {
        connection.setReadTimeout(HANDSHAKE_TIMEOUT_MILLIS);
        connection.authenticatePeer(challenge(), secret);
        connection.setReadTimeout(IDLE_TIMEOUT_MILLIS);
        handleRequests(connection);
      } finally {
        connections.remove(connection);
      }
    } catch (FrameException e) {
      traffic.rejected().incrementAndGet();
      logger.atWarning().log(
          "event=peer_frame_refused reason=%s from=%s",
          e.reason(), socket.getRemoteSocketAddress());
    } catch (EOFException e) {
      logger.atFine().log("event=peer_connection_ended from=%s", socket.getRemoteSocketAddress());
    } catch (IOException e) {
      logger.atFine().log("event=peer_connection_failed cause=%s", e);
    }
  }

  private void handleRequests(PeerConnection connection) throws IOException {
    while (!listener.isClosed()) {
      PeerMessage request = connection.read();
      traffic.messages().addAndGet(2);
      if (request instanceof PeerMessage.OpenServer open) {
        relay(connection, open.serverId());
        return;
      }
      connection.write(handler.handle(request));
    }
  }

  private void relay(PeerConnection connection, String serverId) throws IOException {
    if (!relayed.tryAdd(MAX_RELAYED)) {
      connection.write(new PeerMessage.ServerOpened(PeerMessage.ServerOpened.Status.UNAVAILABLE));
      return;
    }
    try {
      ServerRelay.Dialed dialed = relay.dial(serverId);
      try {
        connection.write(new PeerMessage.ServerOpened(dialed.status()));
        if (dialed.socket().isPresent()) {
          new RelayedConnection(connection, dialed.socket().get()).run(IDLE_TIMEOUT_MILLIS);
        }
      } finally {
        if (dialed.socket().isPresent()) {
          dialed.socket().get().close();
        }
      }
    } finally {
      relayed.remove();
    }
  }

  private String challenge() {
    byte[] bytes = new byte[CHALLENGE_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
