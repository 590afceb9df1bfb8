package org.magnoliaswitch.core.request;

/** What became of a request, as its caller is told. */
public enum Outcome {
  /** A backend server executed it and this is its whole answer. */
  EXECUTED("executed"),
  /** No backend server executed it, and none will under this key unless it is sent again. */
  NOT_EXECUTED("not-executed"),
  /** It may or may not have been executed. */
  UNKNOWN("unknown");

  /** Response header that carries the outcome. */
  public static final String HEADER = "Request-Outcome";

  /**
   * Response header that says {@code not-executed} when this copy of a request was not executed,
   * although nobody can tell of earlier ones. A caller whose every copy was told so knows the rest.
   */
  public static final String ATTEMPT_OUTCOME_HEADER = "Attempt-Outcome";

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /** The header value. */
  public String text() {
    return text;
  }
}
