package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/** Recognizes heads that consist of parts of two responses. */
public final class ResponseHeads {
  private static final String VERSION = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] +[1-5]\\d\\d");

  private ResponseHeads() {}

  /** Whether a reason phrase or header value contains the status line of another response. */
  public static boolean containStatusLine(HttpResponse head) {
    if (containsStatusLine(head.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> header : head.headers()) {
      if (containsStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean containsStatusLine(String text) {
    return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
  }
}
