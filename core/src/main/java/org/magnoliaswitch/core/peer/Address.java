package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.net.InetSocketAddress;

/**
 * An IP number and TCP port.
 *
 * @param host IP number
 * @param port TCP port
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Address(String host, int port) {
  /** The address for sockets; no name look-up takes place. */
  public InetSocketAddress socket() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ':' + port;
  }
}
