package org.magnoliaswitch.core.process;

import org.magnoliaswitch.core.connection.ConnectionPool;
import org.magnoliaswitch.core.version.BackendServer;

/**
 * A backend server with what this instance keeps for it across versions.
 *
 * @param server its declaration
 * @param load what this instance knows of its load
 * @param pool connections to it
 */
public record ServerHandle(BackendServer server, ServerLoad load, ConnectionPool pool) {
  /** Id of the server. */
  public String id() {
    return server.id();
  }
}
