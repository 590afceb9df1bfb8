package org.magnoliaswitch.core.connection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Opens TCP connections to backend servers. */
@FunctionalInterface
public interface SocketConnector {
  /** Opens connections over the network of this machine. */
  SocketConnector NETWORK =
      (address, timeoutMillis) -> {
        Socket socket = new Socket();
        try {
          socket.connect(address, Math.max(1, timeoutMillis));
          return socket;
        } catch (IOException e) {
          socket.close();
          throw e;
        }
      };

  /**
   * Opens a connection; blocks at most for the timeout.
   *
   * @throws java.net.ConnectException if no process listens at the address
   */
  Socket connect(InetSocketAddress address, int timeoutMillis) throws IOException;
}
