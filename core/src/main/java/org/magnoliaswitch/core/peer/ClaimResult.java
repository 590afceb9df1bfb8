package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Result of one claim.
 *
 * @param status what came of it
 * @param holder incarnation that holds the key when {@link Status#HELD}
 * @param fingerprint fingerprint the holder claimed with
 * @param row version of the claim's row
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ClaimResult(Status status, String holder, String fingerprint, long row) {
  /** What came of a claim. */
  public enum Status {
    GRANTED,
    HELD,
    /** The table gave no answer; the claim may still take effect. */
    UNAVAILABLE
  }

  /** No answer from the table. */
  public static final ClaimResult NO_ANSWER = new ClaimResult(Status.UNAVAILABLE, "", "", 0);
}
