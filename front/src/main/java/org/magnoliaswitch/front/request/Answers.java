package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.connection.CallerAnswer;

/** Answers that this instance gives itself. */
final class Answers {
  /** Callers that were refused come back spread over a span, so that they do not meet again. */
  private static final double RETRY_AFTER_MIN_SECONDS = 0.08;

  private static final double RETRY_AFTER_SPAN_SECONDS = 0.16;

  private Answers() {}

  /** The request has not run and never will; the caller may come back after a while. */
  static CallerAnswer notRun(String reason, RandomGenerator random) {
    HttpHeaders headers = new DefaultHttpHeaders();
    double wait = RETRY_AFTER_MIN_SECONDS + RETRY_AFTER_SPAN_SECONDS * random.nextDouble();
    String seconds = String.format(Locale.ROOT, "%.3f", wait);
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

  /** Statuses by which callers understand that a request has not run. */
  static boolean promisesNotRun(int status) {
    return status == HttpResponseStatus.REQUEST_TIMEOUT.code()
        || status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
        || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
  }

  private static CallerAnswer answer(HttpResponseStatus status, HttpHeaders headers, String text) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    return new CallerAnswer(status, headers, text.getBytes(StandardCharsets.UTF_8));
  }
}
