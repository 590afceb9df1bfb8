package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.connection.ServerReply;

/** Answers that this instance gives itself. */
final class Answers {
  private Answers() {}

  /**
   * The request has not run and never will; the caller may come back after a while.
   *
   * @param retryAfterNanos time after which it may
   */
  static CallerResponse notRun(String reason, long retryAfterNanos) {
    HttpHeaders headers = new DefaultHttpHeaders();
    BigDecimal seconds = BigDecimal.valueOf(TimeUnit.NANOSECONDS.toMillis(retryAfterNanos), 3);
    headers.set(HttpHeaderNames.RETRY_AFTER, seconds.toPlainString());
    return answer(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, reason);
  }

  /**
   * A server's own answer. A refusal that does not say that the request has not run is no promise,
   * and callers would take it for one.
   */
  static CallerResponse passedOn(ServerReply.Complete whole) {
    return promisesNotRun(whole.status().code())
        ? unknown(HttpResponseStatus.BAD_GATEWAY, "unconfirmed_refusal")
        : new CallerResponse(whole.status(), Headers.endToEnd(whole.headers()), whole.body());
  }

  /** Nothing is known of whether the request has run. */
  static CallerResponse unknown(HttpResponseStatus status, String reason) {
    return answer(status, new DefaultHttpHeaders(), reason);
  }

  /** No route covers the request. */
  static CallerResponse noRoute() {
    return answer(HttpResponseStatus.NOT_FOUND, new DefaultHttpHeaders(), "no_route");
  }

  /** Statuses by which callers understand that a request has not run. */
  private static boolean promisesNotRun(int status) {
    return status == HttpResponseStatus.REQUEST_TIMEOUT.code()
        || status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
        || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
  }

  private static CallerResponse answer(
      HttpResponseStatus status, HttpHeaders headers, String text) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    return new CallerResponse(status, headers, text.getBytes(StandardCharsets.UTF_8));
  }
}
