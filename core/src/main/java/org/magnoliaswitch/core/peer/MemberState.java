package org.magnoliaswitch.core.peer;

/** What an instance says of itself. */
public enum MemberState {
  SERVING,
  /** Is stopping; final for its incarnation. */
  LEAVING
}
