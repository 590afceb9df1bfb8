package org.magnoliaswitch.core.request;

/** How one attempt at one backend server ended. */
public sealed interface AttemptResult {
  /** A whole answer, or the head of one that is passed on while it arrives. */
  record Answered(Reply reply) implements AttemptResult {}

  /** The server said by a declared status that it did not execute the request. */
  record Refused(int status) implements AttemptResult {}

  /** Nothing of the request left this instance. */
  record NotSent(String reason) implements AttemptResult {}

  /** Bytes may have left, and no whole answer came. */
  record Broken(String reason) implements AttemptResult {}

  /** Bytes may have left, and the time was up. */
  record TimedOut() implements AttemptResult {}
}
