package org.magnoliaswitch.core.connection;

import java.util.Locale;

/**
 * A response that was not passed on, since it does not belong to the pending request or cannot be
 * shown to.
 *
 * @param pendingId id of the pending request
 * @param echoedId id in the response, in characters that are safe in a log line; empty if it has
 *     none
 * @param status status of the response
 */
public record RefusedResponse(String pendingId, String echoedId, int status, Reason reason) {
  private static final int MAX_ID_LENGTH = 100;

  /** Why a response was not passed on. */
  public enum Reason {
    /** It has the id of another request: skipped if its connection has carried that one. */
    OTHER_ID,
    /** It has no id, though those before it on the connection had one. */
    WITHOUT_ID,
    /** Its head contains the status line of another response. */
    SECOND_STATUS_LINE;

    /** The reason as it stands in the timeline. */
    public String text() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  public RefusedResponse {
    String bounded = echoedId.substring(0, Math.min(MAX_ID_LENGTH, echoedId.length()));
    echoedId = bounded.replaceAll("[^A-Za-z0-9._:-]", "_");
  }
}
