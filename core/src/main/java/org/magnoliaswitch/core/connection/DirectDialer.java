package org.magnoliaswitch.core.connection;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * Opens connections over the network of this machine.
 *
 * @param address address of the server
 */
public record DirectDialer(InetSocketAddress address, Clocks clocks) implements ServerDialer {
  @Override
  public BackendConnection open(int timeoutMillis) throws IOException {
    return BackendConnection.over(SocketConnector.NETWORK.connect(address, timeoutMillis), clocks);
  }

  @Override
  public boolean refusesConnections(int timeoutMillis) {
    try {
      open(timeoutMillis).abort();
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
