package org.magnoliaswitch.front.version;

/**
 * What discovery says of one incarnation of a backend server: an id together with a time of start.
 *
 * @param id names the server; it may keep it over a restart
 * @param startedMillis when this incarnation started, in milliseconds since the epoch, or {@link
 *     #UNKNOWN_START}
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
    long startedMillis,
    String service,
    String host,
    int port,
    String dataCentre,
    int slots,
    boolean draining,
    long warmupNanos) {
  /** Of a server that does not tell when it started: earlier than any other incarnation. */
  public static final long UNKNOWN_START = 0;

  private static final int MAX_PORT = 65_535;

  /**
   * Checks what comes from other processes; {@link IllegalArgumentException} if it is no server.
   */
  public ServerEntry {
    if (id.isEmpty() || startedMillis < 0) {
      throw new IllegalArgumentException("a server needs an id and a time of start");
    }
    if (port < 1 || port > MAX_PORT || slots < 1 || warmupNanos < 0) {
      throw new IllegalArgumentException("port, slots or warm-up of " + id + " are out of range");
    }
  }

  /** Names this incarnation; the id alone names also those before and after it. */
  public String incarnation() {
    return id + "@" + startedMillis;
  }

  /**
   * Whether this is a later incarnation of the same server. It has forgotten all that the earlier
   * one did, so nothing that was learnt there holds.
   */
  public boolean replaces(ServerEntry other) {
    return id.equals(other.id) && startedMillis > other.startedMillis;
  }

  /** Whether both say the same but for how much of the warm-up is left. */
  public boolean equivalent(ServerEntry other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && service.equals(other.service)
        && host.equals(other.host)
        && port == other.port
        && dataCentre.equals(other.dataCentre)
        && slots == other.slots
        && draining == other.draining
        && (warmupNanos > 0) == (other.warmupNanos > 0);
  }
}
