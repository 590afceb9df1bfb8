package org.magnoliaswitch.core.version;

/** How often a request of one kind may be executed. */
public enum Execution {
  /** A repeated execution has the effect of one: retries and hedges are allowed. */
  IDEMPOTENT,
  /** At most one execution per idempotency key; never sent again once a byte may have left. */
  AT_MOST_ONCE
}
