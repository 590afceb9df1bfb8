package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The final answer to a caller.
 *
 * @param status HTTP status
 * @param headers headers without those that concern one connection only
 * @param body whole body
 */
public record CallerResponse(HttpResponseStatus status, HttpHeaders headers, byte[] body) {}
