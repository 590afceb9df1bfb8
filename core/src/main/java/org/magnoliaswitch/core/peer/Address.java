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
  /** Returns the address for sockets; the host must be an IP number, so no name is resolved. */
  public InetSocketAddress socket() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ':' + port;
  }
}
