package org.magnoliaswitch.front.connection;

import java.io.Serial;
import java.net.ConnectException;

/**
 * No connection could be opened because this instance has lost its path to a service and no other
 * instance could help. It says nothing about the server.
 */
public final class PathLostException extends ConnectException {
  @Serial private static final long serialVersionUID = 1;

  PathLostException(String service) {
    super("no path to service " + service);
  }
}
