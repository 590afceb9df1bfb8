package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The final response to a caller.
 *
 * @param status HTTP status
 * @param headers headers without the hop-by-hop headers
 * @param body complete body
 */
public record CallerResponse(HttpResponseStatus status, HttpHeaders headers, byte[] body) {}
