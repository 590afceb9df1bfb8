package org.magnoliaswitch.front.connection;

/** Receives the result of an exchange with a backend server, exactly once. */
@FunctionalInterface
public interface ReplyListener {
  /** Called when the exchange has ended. */
  void ended(ServerReply reply);
}
