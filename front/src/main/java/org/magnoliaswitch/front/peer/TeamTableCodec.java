package org.magnoliaswitch.front.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.magnoliaswitch.front.version.ApiKey;
import org.magnoliaswitch.front.version.Quota;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamChanges;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the teams of a configuration and the names of its anonymous routes. They end
 * each update, even if there are none: without them, an update comes from an earlier release that
 * could not read teams.
 */
final class TeamTableCodec {
  private TeamTableCodec() {}

  /**
   * The decoded part of an update.
   *
   * @param anonymous names of the routes whose requests need no key
   */
  record Decoded(TeamChanges teams, Set<String> anonymous) {
    /** Returns the routes with those marked that need no key. */
    List<Route> apply(List<Route> routes) {
      return anonymous.isEmpty()
          ? routes
          : routes.stream()
              .map(route -> anonymous.contains(route.name()) ? route.withoutKeys() : route)
              .toList();
    }
  }

  static void write(MessagePacker out, TeamChanges teams, List<Route> routes) throws IOException {
    out.packBoolean(teams.declared());
    out.packArrayHeader(teams.changed().size());
    for (Team team : teams.changed()) {
      writeTeam(out, team);
    }
    writeStrings(out, teams.removed());
    writeStrings(out, routes.stream().filter(Route::anonymous).map(Route::name).toList());
  }

  static Decoded read(MessageUnpacker in) throws IOException {
    boolean declared = in.unpackBoolean();
    List<Team> changed = new ArrayList<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      changed.add(readTeam(in));
    }
    Set<String> removed = readStrings(in);
    return new Decoded(new TeamChanges(changed, removed, declared), readStrings(in));
  }

  private static void writeTeam(MessagePacker out, Team team) throws IOException {
    out.packString(team.name());
    writeStrings(out, team.keys().stream().map(ApiKey::text).toList());
    out.packDouble(team.quota().requestsPerSecond());
    out.packDouble(team.quota().burst());
    out.packInt(team.priority());
  }

  private static Team readTeam(MessageUnpacker in) throws IOException {
    String name = in.unpackString();
    Set<ApiKey> keys = new HashSet<>();
    readStrings(in).forEach(key -> keys.add(new ApiKey(key)));
    Quota quota = new Quota(in.unpackDouble(), in.unpackDouble());
    return new Team(name, keys, quota, in.unpackInt());
  }

  private static void writeStrings(MessagePacker out, Collection<String> strings)
      throws IOException {
    out.packArrayHeader(strings.size());
    for (String string : strings) {
      out.packString(string);
    }
  }

  private static Set<String> readStrings(MessageUnpacker in) throws IOException {
    Set<String> strings = new HashSet<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      strings.add(in.unpackString());
    }
    return strings;
  }
}
