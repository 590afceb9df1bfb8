package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.magnoliaswitch.core.crash.RequestIdentity;

/**
 * A completely received request.
 *
 * @param method HTTP method
 * @param target request target as the caller wrote it
 * @param headers all headers of the caller
 * @param body complete body
 * @param readNanos monotonic time at which the last byte was read
 * @param usedConnection whether the connection carried earlier requests
 * @param caller IP address of the caller, without the port
 */
public record CallerRequest(
    HttpMethod method,
    String target,
    HttpHeaders headers,
    byte[] body,
    long readNanos,
    boolean usedConnection,
    String caller) {
  /** Identity of the request's content, equal for repetitions by any caller. */
  public RequestIdentity identity() {
    String host = headers.get(HttpHeaderNames.HOST, "");
    return RequestIdentity.ofContent(method.name(), host, target, body);
  }
}
