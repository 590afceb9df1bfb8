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

/** Builds the responses that callers receive. */
final class CallerResponses {
  private CallerResponses() {}

  /**
   * Creates a response stating that the request was not and will not be executed, and that the
   * caller may retry.
   *
   * @param retryAfterNanos time after which the caller may retry
   */
  static CallerResponse notExecuted(String reason, long retryAfterNanos) {
    return plainText(
        HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterHeaders(retryAfterNanos), reason);
  }

  private static HttpHeaders retryAfterHeaders(long retryAfterNanos) {
    HttpHeaders headers = new DefaultHttpHeaders();
    BigDecimal seconds = BigDecimal.valueOf(TimeUnit.NANOSECONDS.toMillis(retryAfterNanos), 3);
    headers.set(HttpHeaderNames.RETRY_AFTER, seconds.toPlainString());
    return headers;
  }

  /**
   * Creates a response stating why the request may not be sent; it was not executed.
   *
   * @param busyRetryAfterNanos time after which the caller may retry if the reason may have changed
   */
  static CallerResponse denied(Denial denial, long busyRetryAfterNanos) {
    return switch (denial) {
      case Denial.Unauthorized unauthorized -> unauthorized(unauthorized.reason());
      case Denial.Unavailable unavailable -> notExecuted(unavailable.reason(), busyRetryAfterNanos);
      case Denial.OverQuota over ->
          plainText(
              HttpResponseStatus.TOO_MANY_REQUESTS,
              retryAfterHeaders(over.retryAfterNanos()),
              over.reason());
    };
  }

  private static CallerResponse unauthorized(String reason) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.WWW_AUTHENTICATE, "Token");
    return plainText(HttpResponseStatus.UNAUTHORIZED, headers, reason);
  }

  /**
   * Forwards the response of a server to a request that may have been executed. Statuses from which
   * callers would conclude that it was not executed are replaced by 502.
   */
  static CallerResponse forwarded(ServerReply.Complete response) {
    return impliesNotExecuted(response.status().code())
        ? possiblyExecuted(HttpResponseStatus.BAD_GATEWAY, "unconfirmed_refusal")
        : new CallerResponse(
            response.status(), EndToEndHeaders.copyOf(response.headers()), response.body());
  }

  /** Creates a response stating that the request may have been executed. */
  static CallerResponse possiblyExecuted(HttpResponseStatus status, String reason) {
    return plainText(status, new DefaultHttpHeaders(), reason);
  }

  /** Creates a response stating that no route matches the request. */
  static CallerResponse noRoute() {
    return plainText(HttpResponseStatus.NOT_FOUND, new DefaultHttpHeaders(), "no_route");
  }

  /** Whether callers conclude from the status that a request was not executed. */
  private static boolean impliesNotExecuted(int status) {
    return status == HttpResponseStatus.REQUEST_TIMEOUT.code()
        || status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
        || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
  }

  private static CallerResponse plainText(
      HttpResponseStatus status, HttpHeaders headers, String body) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    return new CallerResponse(status, headers, body.getBytes(StandardCharsets.UTF_8));
  }
}
