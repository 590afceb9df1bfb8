package org.magnoliaswitch.front.connection;

import org.magnoliaswitch.front.version.ServerEntry;

/** Receives what servers send besides the responses to requests. */
@FunctionalInterface
public interface UnmatchedBytesListener {
  /** Ignores what it receives. */
  UnmatchedBytesListener NONE = (server, connection, bytes) -> {};

  /** Called on the event loop, before the connection is closed or used further. */
  void received(ServerEntry server, ServerConnection connection, UnmatchedBytes bytes);
}
