package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Result of a claim of an idempotency key.
 *
 * @param status whether the claim was granted
 * @param holder incarnation that holds the key, also if the claim was granted; empty if the claim
 *     table did not answer
 * @param fingerprint fingerprint of the holder's claim; empty if the claim table did not answer
 * @param row version of the claim's row if it was read; 0 if it was just written or not read
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ClaimResult(Status status, String holder, String fingerprint, long row) {
  /** Whether a claim was granted. */
  public enum Status {
    GRANTED,
    HELD,
    /** The claim table did not answer; the claim may still take effect. */
    UNAVAILABLE
  }

  /** Result of a claim to which the claim table did not answer. */
  public static final ClaimResult NO_ANSWER = new ClaimResult(Status.UNAVAILABLE, "", "", 0);
}
