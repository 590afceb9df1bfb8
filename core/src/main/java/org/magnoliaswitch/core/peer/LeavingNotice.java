package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Notice from one source whether a backend server leaves; the latest notice of each source counts.
 *
 * @param server id of the server
 * @param source source of the notice
 * @param atMillis when an instance received it directly from the source
 * @param leaving whether the server leaves according to the source
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LeavingNotice(String server, Source source, long atMillis, boolean leaving) {
  /**
   * Source of a notice. A notice from a single source is enough to stop new requests to the server.
   */
  public enum Source {
    /** The server's own report. */
    REPORT,
    /** The platform's list of servers. */
    LIST,
    /** A command of an operator. */
    OPERATOR
  }
}
