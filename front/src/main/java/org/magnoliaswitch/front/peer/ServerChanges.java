package org.magnoliaswitch.front.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Differences between two lists of backend servers, small enough to send on every change.
 *
 * @param revision revision of the later list
 * @param changed entries that are new or differ
 * @param removed ids that are no longer listed
 */
public record ServerChanges(Revision revision, List<ServerEntry> changed, List<String> removed) {
  public ServerChanges {
    changed = List.copyOf(changed);
    removed = List.copyOf(removed);
  }

  /** Compares two lists. Of a warm-up, only whether any time remains is compared, not how much. */
  public static ServerChanges between(ServerList before, ServerList after) {
    List<ServerEntry> changed = new ArrayList<>();
    for (ServerEntry entry : after.servers().values()) {
      ServerEntry previous = before.servers().get(entry.id());
      if (previous == null || !previous.equivalent(entry)) {
        changed.add(entry);
      }
    }
    List<String> removed = new ArrayList<>(before.servers().keySet());
    removed.removeAll(after.servers().keySet());
    return new ServerChanges(after.revision(), changed, removed);
  }

  /** Returns the same changes as those that lead to another revision. */
  ServerChanges at(Revision other) {
    return new ServerChanges(other, changed, removed);
  }

  /** Applies the changes to the earlier list and returns the later one. */
  public ServerList applyTo(ServerList before) {
    if (changed.isEmpty() && removed.isEmpty()) {
      // Most messages of a peer only confirm the list, several times a second.
      return new ServerList(revision, before.servers());
    }
    Map<String, ServerEntry> servers = new HashMap<>(before.servers());
    changed.forEach(entry -> servers.put(entry.id(), entry));
    removed.forEach(servers::remove);
    return new ServerList(revision, servers);
  }
}
