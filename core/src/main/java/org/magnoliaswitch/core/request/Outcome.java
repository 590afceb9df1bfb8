package org.magnoliaswitch.core.request;

/** What became of a request, as reported to its caller. */
public enum Outcome {
  /**
   * A backend server executed the request. The reply is its answer; a repetition of the request
   * gets an error status instead if the answer was too large to keep.
   */
  EXECUTED("executed"),
  /**
   * No backend server executed the request, and none will for this key unless the request is sent
   * again.
   */
  NOT_EXECUTED("not-executed"),
  /** The request may or may not have been executed. */
  UNKNOWN("unknown");

  /** Response header with the outcome. */
  public static final String HEADER = "Request-Outcome";

  /**
   * Response header with the value {@code not-executed} when this copy of a request was not
   * executed, while the outcome of earlier copies is unknown. A caller that receives it for every
   * copy knows that the request was not executed.
   */
  public static final String ATTEMPT_OUTCOME_HEADER = "Attempt-Outcome";

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /** Value of the header. */
  public String text() {
    return text;
  }
}
