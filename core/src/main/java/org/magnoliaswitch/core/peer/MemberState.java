package org.magnoliaswitch.core.peer;

/** State that an instance reports about itself. */
public enum MemberState {
  SERVING,
  /** The instance is stopping; an incarnation never returns from this state. */
  LEAVING
}
