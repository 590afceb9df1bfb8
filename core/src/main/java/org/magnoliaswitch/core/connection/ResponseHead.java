package org.magnoliaswitch.core.connection;

import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/** What the head of a response tells about the request to which it belongs. */
final class ResponseHead {
  private static final String VERSION = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d\\s+\\d{3}");

  private ResponseHead() {}

  /**
   * Whether the head contains the status line of another response: a server that breaks off within
   * a head leaves its beginning in front of the next response.
   */
  static boolean containsStatusLine(HttpResponse response) {
    if (containsStatusLine(response.getReasonPhrase())) {
      return true;
    }
    for (Header header : response.getHeaders()) {
      if (containsStatusLine(header.getName()) || containsStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean containsStatusLine(@Nullable String text) {
    return text != null && text.contains(VERSION) && STATUS_LINE.matcher(text).find();
  }

  /**
   * The id in the response, empty if it has none. Of several ids it is one that differs from the
   * expected one, so that the response does not match.
   */
  static String echoedId(HttpResponse response, String expected) {
    String echoed = "";
    for (Header header : response.getHeaders(BackendConnection.ID_HEADER)) {
      String value = header.getValue() == null ? "" : header.getValue();
      if (!value.isEmpty() && (echoed.isEmpty() || !value.equals(expected))) {
        echoed = value;
      }
    }
    return echoed;
  }
}
