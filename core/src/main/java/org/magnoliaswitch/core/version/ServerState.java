package org.magnoliaswitch.core.version;

/** The state of a backend server that operators request. */
public enum ServerState {
  ACTIVE,
  /** Finishes its requests in flight and receives no new ones. */
  DRAINING
}
