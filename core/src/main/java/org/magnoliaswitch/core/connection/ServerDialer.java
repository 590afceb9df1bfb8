package org.magnoliaswitch.core.connection;

import java.io.IOException;

/** Opens connections to one backend server. */
public interface ServerDialer {
  /** Opens a connection; blocks at most for the timeout. */
  BackendConnection open(int timeoutMillis) throws IOException;

  /**
   * Whether no process listens at the server's address, as after a crash. A connection attempt
   * without any answer may be due to a broken network path, so that the server counts as running.
   */
  boolean refusesConnections(int timeoutMillis);
}
