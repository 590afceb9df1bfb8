package org.magnoliaswitch.front.load;

/**
 * Parts of the decisions under load that can be switched off one by one, to find out what each is
 * worth. None of them guards a promise: at most once, whole answers and drains hold without.
 */
public enum Mechanism {
  /** Servers are asked for their load before a request is placed. */
  ASKING,
  /** One server is asked first, and further ones when it is slow or full. */
  FURTHER_ROUNDS,
  /** After the last round a request goes to a server that was just heard of, or waits. */
  KNOWN_ROOM,
  /** A server gets no more requests than it can run well. */
  KNEE_BOUND,
  /** Where no server has room below that, the last slot of one is filled if it serves more so. */
  LAST_SLOT,
  /** A request starts only where its answer can be expected in time. */
  START_IN_TIME,
  /** An answer's load sample is taken without the request it came with. */
  EXACT_REPORTS,
  /** A request waits while all servers are busy. */
  WAITING,
  /** Late requests yield while others wait. */
  YIELDING,
  /** Waiting requests go by chance, urgency and objective, not by age. */
  LINE_ORDER,
  /** An overdue idempotent request is sent to a second server. */
  HEDGING,
  /** Callers whose request a server rejected may return at once. */
  PROMPT_RETURNS,
  /** Refused callers are told different times to come back. */
  SPREAD_RETURNS,
  /** Further sends go to callers that cannot come back before others. */
  LAST_TRIES_FIRST,
  /** Servers that failed lately are passed by. */
  FAILURE_MEMORY,
  /** Servers whose own answers were slow lately are passed by. */
  LATENCY_MEMORY,
  /** Servers that have just started are passed by. */
  WARMTH,
  /** A server of the own data centre goes before one that is as good. */
  NEAR_FIRST,
  /** Of a large service an instance sends to a part of the servers. */
  SUBSET,
  /** Others take the place of servers that cannot be reached. */
  REPLACEMENTS,
  /** What may run once is written only on connections used a moment ago. */
  FRESH_CONNECTIONS,
  /** Requests wait for the first configuration after a start. */
  FIRST_CONFIGURATION
}
