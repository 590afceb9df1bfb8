package org.magnoliaswitch.core.process;

import org.magnoliaswitch.core.connection.ConnectionPool;
import org.magnoliaswitch.core.version.BackendServer;

/**
 * A backend server with the state that this instance keeps for it across versions.
 *
 * @param server declaration of the server
 * @param load observed load of the server
 * @param pool connections to the server
 */
public record ServerHandle(BackendServer server, ServerLoad load, ConnectionPool pool) {
  /** Returns the id of the server. */
  public String id() {
    return server.id();
  }
}
