package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * News of whether a backend server leaves, by one kind of sign; the latest sign of a kind counts.
 *
 * @param server id of the server
 * @param sign kind of sign
 * @param atMillis when it was seen first-hand
 * @param leaving whether the server leaves, by this sign
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LeavingNotice(String server, Source source, long atMillis, boolean leaving) {
  /** Who said so; any one is enough to stop new work. */
  public enum Source {
    /** The server's own report. */
    REPORT,
    /** The platform's list. */
    LIST,
    /** An operator, by word of mouth. */
    OPERATOR
  }
}
