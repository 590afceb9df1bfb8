package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** How one exchange with a backend server ended. */
public sealed interface ServerReply {
  /**
   * A whole answer that belongs to the request.
   *
   * @param status status of the server
   * @param headers headers of the server
   * @param body whole body
   */
  record Complete(HttpResponseStatus status, HttpHeaders headers, byte[] body)
      implements ServerReply {}

  /**
   * The connection ended, or carried bytes that are no answer to the request; the server may have
   * run it.
   *
   * @param reason one word for the log
   */
  record Broken(String reason) implements ServerReply {}
}
