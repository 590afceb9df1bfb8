package org.magnoliaswitch.core.request;

/** The result of one attempt to send a request to a backend server. */
public sealed interface AttemptResult {
  /**
   * The server answered. A small body was received completely; a large one is forwarded as a
   * stream.
   */
  record Answered(Reply reply) implements AttemptResult {}

  /**
   * The server refused the request with a status that is declared to mean that it was not executed.
   */
  record Refused(int status) implements AttemptResult {}

  /** No part of the request was sent. */
  record NotSent(String reason) implements AttemptResult {}

  /** The request may have been sent, and the connection failed before a complete answer. */
  record Broken(String reason) implements AttemptResult {}

  /** The request may have been sent, and the deadline passed before a complete answer. */
  record TimedOut() implements AttemptResult {}
}
