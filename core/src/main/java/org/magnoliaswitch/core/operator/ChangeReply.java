package org.magnoliaswitch.core.operator;

import java.util.List;

/**
 * The response to a configuration change.
 *
 * @param status result of the change
 * @param version the accepted version; the current version if another change was accepted first
 * @param messages problems of an invalid change, the differences from the current version, or the
 *     reason why the result is unknown
 */
public record ChangeReply(Status status, long version, List<String> messages) {
  /** The result of a change. */
  public enum Status {
    ACCEPTED,
    /** A change with the same change id was accepted before. */
    ALREADY_ACCEPTED,
    /** Another change was accepted first. */
    RACED,
    /** The platform's answer is missing; the operator may send the same change again. */
    UNDECIDED,
    INVALID
  }
}
