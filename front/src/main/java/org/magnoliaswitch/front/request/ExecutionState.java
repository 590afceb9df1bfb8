package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.connection.CallerResponse;

/** Records what the attempts of a request revealed about its execution, for its final response. */
final class ExecutionState {
  private boolean possiblyExecuted;
  private @Nullable CallerResponse serverFailure;

  /**
   * A final response.
   *
   * @param outcome the outcome as logged, a single word
   */
  record FinalResponse(CallerResponse response, String outcome) {}

  /** Records an attempt that brought no response after a part of the request was written. */
  void attemptBroken() {
    possiblyExecuted = true;
  }

  /** Records a server that executed the request and answered with a failure. */
  void serverFailed(CallerResponse failure) {
    possiblyExecuted = true;
    serverFailure = failure;
  }

  /**
   * The final response of a request that is given up; empty if it was not executed.
   *
   * @param status status for a request that may have been executed
   * @param written whether a server may be at work on it now
   */
  Optional<FinalResponse> finalResponse(HttpResponseStatus status, String reason, boolean written) {
    if (serverFailure != null) {
      // The server executed the request, so its response is more informative for the caller than
      // one that this instance creates.
      return Optional.of(new FinalResponse(serverFailure, RequestReport.SERVER_FAILED));
    }
    return possiblyExecuted || written
        ? Optional.of(new FinalResponse(CallerResponses.possiblyExecuted(status, reason), reason))
        : Optional.empty();
  }
}
