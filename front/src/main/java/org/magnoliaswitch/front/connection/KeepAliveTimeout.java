package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.TimeUnit;

/** The time after which a server closes an idle connection, as it states it in a response. */
final class KeepAliveTimeout {
  /**
   * Subtracted from the server's keep-alive timeout, so that no request is sent while the server
   * closes the connection.
   */
  private static final long KEEP_ALIVE_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final String KEEP_ALIVE = "keep-alive";
  private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

  private KeepAliveTimeout() {}

  /** Time for which the connection may be idle; unlimited if the response states none. */
  static long nanos(HttpResponse response) {
    String value = response.headers().get(KEEP_ALIVE);
    int start = value == null ? -1 : value.indexOf(KEEP_ALIVE_TIMEOUT);
    if (value == null || start < 0) {
      return Long.MAX_VALUE;
    }
    int end = start + KEEP_ALIVE_TIMEOUT.length();
    long seconds = 0;
    while (end < value.length() && Character.isDigit(value.charAt(end))) {
      seconds = Math.min(Integer.MAX_VALUE, seconds * 10 + (value.charAt(end) - '0'));
      end++;
    }
    return Math.max(0, TimeUnit.SECONDS.toNanos(seconds) - KEEP_ALIVE_MARGIN_NANOS);
  }
}
