package org.magnoliaswitch.front.peer;

import org.jspecify.annotations.Nullable;

/**
 * The configuration version that a listener holds, and how urgently it wants newer ones.
 *
 * @param version version in force at the listener; 0 if none
 * @param lastUpdate version of the last update received on this connection; 0 if none. The peer
 *     sends no further update until this version is reported, so that versions never queue up on a
 *     slow link
 * @param delivery how soon it wants updates
 */
public record HeldConfiguration(long version, long lastUpdate, Delivery delivery) {
  /**
   * Compares the components directly: the generated method is slow until it is compiled, and this
   * one runs for each message of a peer.
   */
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof HeldConfiguration held
        && version == held.version
        && lastUpdate == held.lastUpdate
        && delivery == held.delivery;
  }

  @Override
  public int hashCode() {
    return 31 * (31 * Long.hashCode(version) + Long.hashCode(lastUpdate)) + delivery.hashCode();
  }

  /** How soon a listener is sent updates. */
  public enum Delivery {
    /** Before all other listeners, because it forwards the updates to its own. */
    FIRST,
    /** Without delay, because the listener relies on this instance for updates. */
    IMMEDIATE,
    /** After a delay and only if still needed, because another peer sends updates immediately. */
    DEFERRED
  }
}
