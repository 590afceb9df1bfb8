package org.magnoliaswitch.core.version;

/** What operators want of a backend server. */
public enum ServerState {
  ACTIVE,
  /** Finishes what it has and gets no new work. */
  DRAINING
}
