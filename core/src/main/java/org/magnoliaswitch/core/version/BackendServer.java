package org.magnoliaswitch.core.version;

/**
 * One backend server of a service.
 *
 * @param id unique among all services
 * @param dataCentre where it runs
 * @param host IP number
 * @param port TCP port
 * @param slots requests it executes at once
 * @param connections most connections it accepts from all instances together
 * @param state what operators want of it
 */
public record BackendServer(
    String id,
    String dataCentre,
    String host,
    int port,
    int slots,
    int connections,
    ServerState state) {
  /** The same server in another state. */
  public BackendServer withState(ServerState other) {
    return new BackendServer(id, dataCentre, host, port, slots, connections, other);
  }
}
