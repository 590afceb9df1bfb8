package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.function.Consumer;

/** Handles requests of callers. */
public interface RequestHandler {
  /** A request in progress, as its caller's connection sees it. */
  interface Call {
    /**
     * Called when the response is not needed any more: the caller has disconnected, or this
     * instance closes the connection after an earlier response and drops the pipelined requests
     * behind it.
     */
    void callerDisconnected();
  }

  /**
   * Whether the request may run more than once, and may therefore run concurrently with other
   * requests of its connection.
   */
  boolean idempotent(CallerRequest request);

  /**
   * Called when bytes of a caller were rejected before they formed a complete request.
   *
   * @param status HTTP status of the response
   * @param reason short reason for the log
   * @param head request line and headers, if they were read
   */
  default void rejected(HttpResponseStatus status, String reason, Optional<HttpRequest> head) {}

  /**
   * Called when a connection was closed before its responses had been sent.
   *
   * @param lastHeaders headers of the request of the last response, which was not sent whole
   * @param unsentBytes size of what was not sent, about
   * @param reason short reason for the log
   */
  default void responseCut(HttpHeaders lastHeaders, long unsentBytes, String reason) {}

  /**
   * Starts a request.
   *
   * @param response receives the response, exactly once unless {@link Call#callerDisconnected} is
   *     called before
   */
  Call start(CallerRequest request, Consumer<CallerResponse> response);
}
