package org.magnoliaswitch.front.version;

/**
 * Discovery entry of one incarnation of a backend server, identified by its id and start time.
 *
 * @param id id of the server, which may be the same after a restart
 * @param startedMillis when this incarnation started, in milliseconds since the epoch, or {@link
 *     #UNKNOWN_START}
 * @param service service that the server belongs to
 * @param host IP address
 * @param port TCP port
 * @param dataCentre data centre in which it runs
 * @param slots number of requests that it executes concurrently
 * @param draining whether it has announced that it is leaving
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
  /**
   * Start time of a server that does not report it; counts as earlier than any other incarnation.
   */
  public static final long UNKNOWN_START = 0;

  private static final int MAX_PORT = 65_535;

  /**
   * Validates the fields, which come from other processes; throws {@link IllegalArgumentException}
   * if one is out of range.
   */
  public ServerEntry {
    if (id.isEmpty() || startedMillis < 0) {
      throw new IllegalArgumentException(
          "id of a server entry must not be empty, nor its start time negative");
    }
    if (port < 1 || port > MAX_PORT || slots < 1 || warmupNanos < 0) {
      throw new IllegalArgumentException(
          "invalid entry of server "
              + id
              + ": port must be 1 to 65535, slots at least 1, warm-up at least 0");
    }
  }

  /** Returns a name for this incarnation; the id alone is the same for earlier and later ones. */
  public String incarnation() {
    return id + "@" + startedMillis;
  }

  /**
   * Whether this is a later incarnation of the same server. It has no state in common with the
   * earlier one, so nothing known of that applies to it.
   */
  public boolean replaces(ServerEntry other) {
    return id.equals(other.id) && startedMillis > other.startedMillis;
  }

  /**
   * Whether two entries are equal, apart from the lengths of their remaining warm-up times: it only
   * counts whether any warm-up remains.
   */
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
