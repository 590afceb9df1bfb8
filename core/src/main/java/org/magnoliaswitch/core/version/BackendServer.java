package org.magnoliaswitch.core.version;

/**
 * One backend server of a service.
 *
 * @param id identifier, unique across all services
 * @param dataCentre data centre in which the server runs
 * @param host IP address
 * @param port TCP port
 * @param slots number of requests that the server executes concurrently
 * @param connections maximum number of connections that the server accepts from all instances
 *     together
 * @param state state that operators have requested
 */
public record BackendServer(
    String id,
    String dataCentre,
    String host,
    int port,
    int slots,
    int connections,
    ServerState state) {
  /** Returns a copy of this server with the given state. */
  public BackendServer withState(ServerState other) {
    return new BackendServer(id, dataCentre, host, port, slots, connections, other);
  }
}
