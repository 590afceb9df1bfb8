package org.magnoliaswitch.front.version;

/**
 * Names of the headers that a deployment uses between callers, this instance and backend servers.
 *
 * @param requestId id of one attempt of a caller; echoed in the response
 * @param deadlineMillis milliseconds that the sender still waits
 * @param expectedServer id of the backend server incarnation a request is meant for
 * @param notExecuted present on a response if the server did not execute the request
 * @param load load report of a backend server
 * @param serverId id of the incarnation that responds to a health check
 * @param warmupLeft milliseconds for which the server that responds to a health check stays cold
 * @param leaving present on the responses of a server that is leaving
 * @param requestLimit requests per second that the responding server accepts from all instances
 *     together
 */
public record HeaderNames(
    String requestId,
    String deadlineMillis,
    String expectedServer,
    String notExecuted,
    String load,
    String serverId,
    String warmupLeft,
    String leaving,
    String requestLimit) {}
