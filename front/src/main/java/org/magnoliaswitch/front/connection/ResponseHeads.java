package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.regex.Pattern;

/** Recognizes heads that no server writes whole: spoiled ones and parts of two responses. */
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

  /** Whether the status line has the version of another protocol, or no status of RFC 9110. */
  public static boolean hasUnknownStatusLine(HttpResponse head) {
    HttpVersion version = head.protocolVersion();
    boolean known = version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
    return !known || head.status().codeClass() == HttpStatusClass.UNKNOWN;
  }

  private static boolean containsStatusLine(String text) {
    return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
  }
}
