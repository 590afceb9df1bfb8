package org.magnoliaswitch.front.peer;

/**
 * What a listener has of the configuration, and when it wants what it lacks.
 *
 * @param version version in force at the listener; 0 if none
 * @param lastUpdate version of the last update that came on this connection; 0 if none. Another one
 *     is sent only after it, so that versions never queue up on a narrow link
 * @param delivery when it wants updates
 */
public record HeldConfiguration(long version, long lastUpdate, Delivery delivery) {
  /** When a listener is sent updates. */
  public enum Delivery {
    /** Before all others, since it passes them on. */
    FIRST,
    /** At once. */
    IMMEDIATE,
    /** After a while, since another peer sends them at once. */
    DEFERRED
  }
}
