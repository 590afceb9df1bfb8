package org.magnoliaswitch.front.connection;

/** Told once how an exchange with a backend server ended. */
@FunctionalInterface
public interface ReplyListener {
  /** Takes the end of the exchange. */
  void ended(ServerReply reply);
}
