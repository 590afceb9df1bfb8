package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.connection.CallerResponse;

/** What earlier sends have made known of a request that gets no answer of success. */
final class RequestFate {
  private boolean perhapsRun;
  private @Nullable CallerResponse serverFailure;

  /**
   * A final answer.
   *
   * @param outcome one word for the log
   */
  record End(CallerResponse answer, String outcome) {}

  /** A send brought no answer after some of the request was written. */
  void perhapsRun() {
    perhapsRun = true;
  }

  /** A server ran the request and answered with a failure. */
  void serverFailed(CallerResponse failure) {
    perhapsRun = true;
    serverFailure = failure;
  }

  /**
   * What the caller is told when the request is given up; empty when it has not run.
   *
   * @param status status for a request of which nothing certain is known
   * @param written whether a server may be at work on it now
   */
  Optional<End> end(HttpResponseStatus status, String reason, boolean written) {
    if (serverFailure != null) {
      // Made by a server that ran the request: it tells the caller more than an answer of our own.
      return Optional.of(new End(serverFailure, RequestReport.SERVER_FAILED));
    }
    return perhapsRun || written
        ? Optional.of(new End(Answers.unknown(status, reason), reason))
        : Optional.empty();
  }
}
