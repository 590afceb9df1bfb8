package org.magnoliaswitch.front.version;

/**
 * Names of the headers that a deployment uses between callers, this instance and backend servers.
 *
 * @param requestId id of one attempt of a caller; echoed in the response
 * @param deadlineMillis milliseconds that the sender still waits
 * @param expectedServer id of the backend server that a request is meant for, which may be the same
 *     after a restart
 * @param notExecuted present on a response if the server did not execute the request
 * @param load load report of a backend server
 * @param serverId id of the server that responds to a health check, which may be the same after a
 *     restart
 * @param warmupLeft milliseconds for which the server that responds to a health check stays cold
 * @param leaving 0 or absent on a response unless the server is leaving
 * @param requestLimit requests per second that the responding server accepts from all instances
 *     together
 * @param team name of the team whose key a request carried, for the server
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
    String requestLimit,
    String team) {}
