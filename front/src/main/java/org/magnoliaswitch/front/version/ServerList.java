package org.magnoliaswitch.front.version;

import java.util.Map;

/**
 * All backend servers that discovery lists at one point in time.
 *
 * @param version increases with each change in the source of the list
 * @param servers entries by id
 */
public record ServerList(long version, Map<String, ServerEntry> servers) {
  /** List before any has been received. */
  public static final ServerList EMPTY = new ServerList(0, Map.of());

  public ServerList {
    servers = Map.copyOf(servers);
  }

  /** Whether a list has been received. */
  public boolean known() {
    return version > 0;
  }
}
