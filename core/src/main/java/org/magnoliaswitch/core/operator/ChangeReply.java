package org.magnoliaswitch.core.operator;

import java.util.List;

/**
 * What came of a change.
 *
 * @param status what came of it
 * @param version the accepted version, or the current one when raced
 * @param messages problems, or what the other change changed
 */
public record ChangeReply(Status status, long version, List<String> messages) {
  /** What came of a change. */
  public enum Status {
    ACCEPTED,
    /** It was accepted earlier under the same change id. */
    ALREADY_ACCEPTED,
    /** Another change came first. */
    RACED,
    /** The platform did not say; the same change may be sent again. */
    UNDECIDED,
    INVALID
  }
}
