package org.magnoliaswitch.front.version;

/**
 * Names of the headers that a deployment uses between callers, this instance and backend servers.
 *
 * @param requestId id of one attempt of a caller; echoed in the answer
 * @param deadlineMillis milliseconds that the sender still waits
 * @param expectedServer id of the backend server incarnation a request is meant for
 * @param notExecuted present on an answer when the server did not run the request
 * @param load load report of a backend server
 * @param serverId id of the incarnation that answers a health check
 * @param warmupLeft milliseconds that the server which answers a health check stays cold
 * @param leaving present on the answers of a server that leaves
 * @param requestLimit requests a second that the answering server takes from all instances together
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
