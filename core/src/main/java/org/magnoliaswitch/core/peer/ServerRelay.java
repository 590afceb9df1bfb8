package org.magnoliaswitch.core.peer;

import java.net.Socket;
import java.util.Optional;

/** Opens connections to backend servers on behalf of peers. */
@FunctionalInterface
public interface ServerRelay {
  /** Opens no connections. */
  ServerRelay NONE = serverId -> Dialed.failed(PeerMessage.ServerOpened.Status.UNAVAILABLE);

  /**
   * Result of opening a connection.
   *
   * @param status what the peer is told
   * @param socket the open connection, if there is one
   */
  record Dialed(PeerMessage.ServerOpened.Status status, Optional<Socket> socket) {
    /** Returns the result for a connection that is open. */
    public static Dialed opened(Socket socket) {
      return new Dialed(PeerMessage.ServerOpened.Status.OPENED, Optional.of(socket));
    }

    /** Returns the result for a connection that could not be opened. */
    public static Dialed failed(PeerMessage.ServerOpened.Status status) {
      return new Dialed(status, Optional.empty());
    }
  }

  /** Opens a direct connection to a server. */
  Dialed dial(String serverId);
}
