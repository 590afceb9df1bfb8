package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.magnoliaswitch.front.connection.CallerAnswer;

/** Answers that this instance gives itself. */
final class Answers {
  private static final double NANOS_PER_SECOND = 1e9;

  private Answers() {}

  /** The request has not run and never will; the caller may come back after a while. */
  static CallerAnswer notRun(String reason, long retryAfterNanos) {
    HttpHeaders headers = new DefaultHttpHeaders();
    String seconds = String.format(Locale.ROOT, "%.3f", retryAfterNanos / NANOS_PER_SECOND);
    headers.set(HttpHeaderNames.RETRY_AFTER, seconds);
    return answer(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, reason);
  }

  /** Nothing is known of whether the request has run. */
  static CallerAnswer unknown(HttpResponseStatus status, String reason) {
    return answer(status, new DefaultHttpHeaders(), reason);
  }

  /** No route covers the request. */
  static CallerAnswer noRoute() {
    return answer(HttpResponseStatus.NOT_FOUND, new DefaultHttpHeaders(), "no_route");
  }

  private static CallerAnswer answer(HttpResponseStatus status, HttpHeaders headers, String text) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    return new CallerAnswer(status, headers, text.getBytes(StandardCharsets.UTF_8));
  }
}
