package org.magnoliaswitch.front.connection;

/**
 * Receives the result of an exchange with a backend server, at most once: an abandoned exchange has
 * no result.
 */
@FunctionalInterface
public interface ReplyListener {
  /** Called when the exchange has ended. */
  void ended(ServerReply reply);
}
