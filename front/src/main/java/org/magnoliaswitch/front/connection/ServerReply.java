package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The result of one exchange with a backend server. */
public sealed interface ServerReply {
  /**
   * A complete response to the request.
   *
   * @param status HTTP status
   * @param headers headers of the response
   * @param body complete body
   */
  record Complete(HttpResponseStatus status, HttpHeaders headers, byte[] body)
      implements ServerReply {}

  /**
   * The connection was closed, or received bytes that are no valid response to the request; the
   * server may have executed the request.
   *
   * @param reason one word for the log
   */
  record Broken(String reason) implements ServerReply {}
}
