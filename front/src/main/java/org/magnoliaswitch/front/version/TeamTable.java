package org.magnoliaswitch.front.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The teams of one configuration version; immutable. */
public final class TeamTable {
  /** A configuration without teams, in which requests carry no keys. */
  public static final TeamTable EMPTY = new TeamTable(List.of());

  private final Map<String, Team> byName = new HashMap<>();
  private final Map<String, Team> byKey = new HashMap<>();

  /**
   * Creates the table; throws {@link IllegalArgumentException} if two teams share a key or name.
   */
  public TeamTable(Collection<Team> teams) {
    for (Team team : teams) {
      if (byName.put(team.name(), team) != null) {
        throw new IllegalArgumentException("there are two teams " + team.name());
      }
      for (ApiKey key : team.keys()) {
        Team other = byKey.put(key.text(), team);
        if (other != null) {
          throw new IllegalArgumentException(
              "teams " + other.name() + " and " + team.name() + " share a key");
        }
      }
    }
  }

  /** Whether there are no teams. */
  public boolean isEmpty() {
    return byName.isEmpty();
  }

  /** Returns all teams. */
  public Collection<Team> teams() {
    return byName.values();
  }

  /** Returns the team that a key belongs to; null if the key is unknown. */
  public @Nullable Team find(String key) {
    return byKey.get(key);
  }

  /** Returns the team with a name. */
  public Optional<Team> named(String name) {
    return Optional.ofNullable(byName.get(name));
  }
}
