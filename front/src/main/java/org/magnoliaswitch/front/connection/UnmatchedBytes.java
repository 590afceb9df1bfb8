package org.magnoliaswitch.front.connection;

import java.util.Locale;

/**
 * What a server sent besides the response to the pending request.
 *
 * @param lastId id of the pending request, or of the last one if none is pending; empty if it has
 *     none
 * @param echoedId id that the bytes carry; empty if they carry none
 * @param status status that the bytes state; 0 if they are no response
 */
public record UnmatchedBytes(Kind kind, String lastId, String echoedId, int status) {
  private static final int MAX_ID_LENGTH = 64;

  /** Bounds the id, which the server has chosen. */
  public UnmatchedBytes {
    echoedId = echoedId.substring(0, Math.min(MAX_ID_LENGTH, echoedId.length()));
  }

  /** Why the bytes are not the response to the pending request. */
  public enum Kind {
    /** A response with the id of an earlier request on the connection. */
    OTHER_REQUEST,
    /** A response with an id that the connection has not carried. */
    UNKNOWN_ID,
    /** A response without an id, although the pending request has one. */
    WITHOUT_ID,
    /** A head that contains a second status line: the beginnings of two responses. */
    JOINED_HEADS,
    /** Bytes that arrived while no request was pending. */
    UNSOLICITED;

    /** The kind as metrics and log lines name it. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
