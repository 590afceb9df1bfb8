package org.magnoliaswitch.front.version;

import java.util.Map;

/**
 * All backend servers that discovery lists at one point in time.
 *
 * @param revision position in the history of the source
 * @param servers entries by id
 */
public record ServerList(Revision revision, Map<String, ServerEntry> servers) {
  /** List before any has been received. */
  public static final ServerList EMPTY = new ServerList(Revision.NONE, Map.of());

  public ServerList {
    servers = Map.copyOf(servers);
  }

  /** Whether a list has been received. */
  public boolean known() {
    return revision.known();
  }
}
