package org.magnoliaswitch.core.peer;

/** Handles requests of peers. */
@FunctionalInterface
public interface PeerHandler {
  /** Returns the reply to a request. */
  PeerMessage handle(PeerMessage request);
}
