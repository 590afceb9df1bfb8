package org.magnoliaswitch.bench;

/** The outcome of a request as known to its caller after all attempts. */
enum Verdict {
  /** The caller received a complete answer to its request, or was told that it was executed. */
  EXECUTED,
  /** The caller was told that the request was not executed. */
  NOT_EXECUTED,
  /** The caller was told that the outcome is unknown. */
  UNKNOWN,
  /**
   * The caller received an answer to another request, or a truncated answer that was declared
   * complete.
   */
  WRONG,
  /** The caller received no answer because the connection failed. */
  NO_ANSWER
}
