package org.magnoliaswitch.front.load;

/**
 * Parts of the decisions under load that can be disabled individually, to find out the effect of
 * each. At-most-once execution, complete answers and draining do not depend on them.
 *
 * <p>The names of the constants, in lower case, are the values of the setting {@code
 * disabledMechanisms}.
 */
public enum Mechanism {
  /** Probes servers for their load before a request is placed. */
  ASKING,
  /** Probes one server first, and further ones when it is slow or full. */
  FURTHER_ROUNDS,
  /** Probes for timely requests only servers whose probe budget and connections allow a probe. */
  PROBEABLE_ONLY,
  /** After the last probe round, a request goes to a server with a fresh load sample, or waits. */
  KNOWN_ROOM,
  /** Limits the outstanding requests of a server to the number it executes without slowing down. */
  KNEE_BOUND,
  /**
   * Fills the last slot of a server when no server has capacity below the knee and that raises the
   * throughput.
   */
  LAST_SLOT,
  /** Starts a request only on a server whose answer is expected in time. */
  START_IN_TIME,
  /** Subtracts the answered request from the load sample in its answer. */
  EXACT_REPORTS,
  /** Lets a request wait while all servers are busy. */
  WAITING,
  /** Lets late requests yield capacity while other requests wait. */
  YIELDING,
  /**
   * Orders waiting requests by timeliness, priority and the end of the objective, instead of only
   * by the end of the objective.
   */
  LINE_ORDER,
  /** Sends an overdue idempotent request to a second server. */
  HEDGING,
  /** Lets callers whose request a server rejected retry immediately. */
  PROMPT_RETURNS,
  /** Spreads the retry times in the responses to refused callers. */
  SPREAD_RETURNS,
  /**
   * Counts the objective of a request that appears to be a first attempt from its arrival, even if
   * its timeout is shorter than that of others.
   */
  FIRST_ATTEMPTS,
  /** Prefers callers that cannot retry when further attempts are made. */
  LAST_TRIES_FIRST,
  /** Avoids servers with recent failures. */
  FAILURE_MEMORY,
  /** Avoids servers whose recent answers to this instance were slow. */
  LATENCY_MEMORY,
  /** Avoids servers that have just started. */
  WARMTH,
  /** Prefers a server in the instance's own data centre among equally good ones. */
  NEAR_FIRST,
  /** Restricts an instance to a subset of the servers of a large service. */
  SUBSET,
  /** Replaces unavailable (unreachable or paused) servers in the subset. */
  REPLACEMENTS,
  /** Writes requests that may be executed at most once only to recently used connections. */
  FRESH_CONNECTIONS,
  /** Holds requests until the first configuration after a start has arrived. */
  FIRST_CONFIGURATION
}
