package org.magnoliaswitch.core.version;

/** How often a request of a kind may be executed. */
public enum Execution {
  /** Several executions have the same effect as a single one: retries and hedges are allowed. */
  IDEMPOTENT,
  /**
   * At most one execution per idempotency key: no further attempt once a byte may have been sent,
   * unless the server answered with a refusal status.
   */
  AT_MOST_ONCE
}
