package org.magnoliaswitch.front.version;

/**
 * What discovery says of one incarnation of a backend server.
 *
 * @param id names the incarnation; a restarted server has another
 * @param service service it belongs to
 * @param host IP address
 * @param port TCP port
 * @param dataCentre where it runs
 * @param slots requests it executes at once
 * @param draining whether it has announced that it leaves
 * @param warmupNanos how much longer it stays slow after its start
 */
public record ServerEntry(
    String id,
    String service,
    String host,
    int port,
    String dataCentre,
    int slots,
    boolean draining,
    long warmupNanos) {
  /** Whether both say the same but for how much of the warm-up is left. */
  public boolean equivalent(ServerEntry other) {
    return id.equals(other.id)
        && service.equals(other.service)
        && host.equals(other.host)
        && port == other.port
        && dataCentre.equals(other.dataCentre)
        && slots == other.slots
        && draining == other.draining
        && (warmupNanos > 0) == (other.warmupNanos > 0);
  }
}
