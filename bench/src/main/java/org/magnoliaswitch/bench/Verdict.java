package org.magnoliaswitch.bench;

/** What a caller knows at the end of its tries. */
enum Verdict {
  /** A whole answer to its own request. */
  EXECUTED,
  /** Told that it was not executed. */
  NOT_EXECUTED,
  /** Told that nobody knows. */
  UNKNOWN,
  /** An answer that was not its own, or cut short but passed for whole. */
  WRONG,
  /** No answer: the connection failed. */
  NO_ANSWER
}
