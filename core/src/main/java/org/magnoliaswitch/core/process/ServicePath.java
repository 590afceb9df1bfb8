package org.magnoliaswitch.core.process;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Decides to which servers of one service an instance opens connections itself, and to which
 * through other instances because it has lost its own path. Not thread-safe.
 *
 * <p>A connection that fails does not tell whose fault it is. A detour is made only to servers that
 * another instance reaches and this one does not; servers that nobody reaches have failed
 * themselves.
 */
public final class ServicePath {
  /**
   * Servers in a row that only other instances reach, from which the path to the whole service
   * counts as lost. Fewer may be due to lost packets.
   */
  private static final int LOST_SERVERS = 3;

  /** What a record has changed. */
  public enum Change {
    NONE,
    /** The first detour to a server of the service begins. */
    DETOUR_BEGUN,
    /** The path to all servers of the service is lost from now on. */
    LOST,
    /** The lost path is back. */
    RESTORED
  }

  private final Set<String> detours = new LinkedHashSet<>();
  private final Set<String> sinceLastDirect = new LinkedHashSet<>();
  private boolean lost;

  /** Whether the path to all servers of the service is lost. */
  public boolean lost() {
    return lost;
  }

  /** Whether a server is to be reached through other instances. */
  public boolean detour(String serverId) {
    return lost || detours.contains(serverId);
  }

  /** Returns the servers that only other instances have reached since this instance did. */
  public Set<String> detours() {
    return Set.copyOf(detours);
  }

  /** Records that this instance has opened a connection to a server itself. */
  public Change recordDirect(String serverId) {
    sinceLastDirect.clear();
    if (!lost) {
      detours.remove(serverId);
      return Change.NONE;
    }
    lost = false;
    detours.clear();
    return Change.RESTORED;
  }

  /**
   * Records that another instance has reached a server that this one failed to reach.
   *
   * @param servers number of servers of the service
   */
  public Change recordReachedByOther(String serverId, int servers) {
    boolean first = detours.isEmpty();
    detours.add(serverId);
    sinceLastDirect.add(serverId);
    if (!lost && sinceLastDirect.size() >= Math.min(LOST_SERVERS, servers)) {
      lost = true;
      return Change.LOST;
    }
    return first ? Change.DETOUR_BEGUN : Change.NONE;
  }

  /** Forgets a server that has left. */
  public void forget(String serverId) {
    detours.remove(serverId);
    sinceLastDirect.remove(serverId);
  }
}
