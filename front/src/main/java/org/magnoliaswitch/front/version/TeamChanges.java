package org.magnoliaswitch.front.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The difference between the teams of a configuration version and those of a later one.
 *
 * @param changed teams that were added or modified
 * @param removed names of the removed teams
 * @param declared whether the later version has teams
 */
public record TeamChanges(List<Team> changed, Set<String> removed, boolean declared) {
  /** Neither version has teams. */
  public static final TeamChanges NONE = new TeamChanges(List.of(), Set.of(), false);

  public TeamChanges {
    changed = List.copyOf(changed);
    removed = Set.copyOf(removed);
  }

  /** Returns the changes, given the names of the teams that differ. */
  static TeamChanges of(TeamTable after, Collection<String> names) {
    if (after.isEmpty() && names.isEmpty()) {
      return NONE;
    }
    Difference<Team> difference = Difference.of(byName(after), names);
    return new TeamChanges(difference.changed(), difference.removed(), !after.isEmpty());
  }

  /** Returns the names of the teams that differ between two versions. */
  static Set<String> differingNames(TeamTable before, TeamTable after) {
    if (before.isEmpty() && after.isEmpty()) {
      return Set.of();
    }
    return Difference.names(byName(before), after.teams(), Team::name);
  }

  /** Whether an instance needs to know teams to read the change. */
  public boolean involvesTeams() {
    return declared || !removed.isEmpty();
  }

  TeamTable applyTo(TeamTable before) {
    if (changed.isEmpty() && removed.isEmpty()) {
      return before;
    }
    Map<String, Team> teams = byName(before);
    removed.forEach(teams::remove);
    changed.forEach(team -> teams.put(team.name(), team));
    return new TeamTable(teams.values());
  }

  private static Map<String, Team> byName(TeamTable table) {
    Map<String, Team> teams = new HashMap<>();
    table.teams().forEach(team -> teams.put(team.name(), team));
    return teams;
  }
}
