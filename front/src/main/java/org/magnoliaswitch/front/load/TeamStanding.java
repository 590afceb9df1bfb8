package org.magnoliaswitch.front.load;

/**
 * Whether a team asks for more than its rate, over all instances together.
 *
 * <p>Load pattern: one team sends many times its usual rate, or its callers retry at once and
 * often, while the servers have no capacity left. Its requests then wait behind those of other
 * teams with the same priority, so that it pays with its own requests.
 */
public enum TeamStanding {
  /** The team asks for about what it is entitled to. */
  WITHIN_RATE,
  /** The team asks for more; among equally urgent requests, its requests come last. */
  OVER_DEMAND
}
