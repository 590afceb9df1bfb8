package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.function.Consumer;

/** Turns requests of callers into answers. */
public interface RequestHandler {
  /** A request in progress, as its caller's connection sees it. */
  interface Call {
    /** The caller has left: nobody waits for the answer any more. */
    void callerDisconnected();
  }

  /** Whether the request may run more than once, and so beside others of its connection. */
  boolean idempotent(CallerRequest request);

  /**
   * Notes that what a caller sent was refused before it became a request.
   *
   * @param head its head, as far as it was read
   */
  default void rejected(HttpResponseStatus status, String reason, Optional<HttpRequest> head) {}

  /** Starts a request; the answer is given exactly once unless the caller leaves. */
  Call start(CallerRequest request, Consumer<CallerResponse> answer);
}
