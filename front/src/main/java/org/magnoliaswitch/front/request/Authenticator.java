package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamTable;

/** Finds the team that a request belongs to by the key that it carries. */
final class Authenticator {
  private static final String SCHEME = "Token ";

  /**
   * Time within which a change of the configuration is in force everywhere. If the configuration
   * has not been confirmed as the newest for longer, an unknown key may have been added since.
   */
  private static final long MAX_CONFIRMATION_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final Access OPEN = new Access.Open();

  private final Environment environment;
  private final TeamAccess openAccess;

  /** What a request may do by its key. */
  sealed interface Access {
    /** No key is needed. */
    record Open() implements Access {}

    /** The key belongs to a team. */
    record Member(Team team) implements Access {}

    /** The key is missing or unknown. */
    record Rejected(String reason) implements Access {}

    /** The configuration may be outdated, so the key may have been added or revoked since. */
    record Unconfirmed(String reason) implements Access {}
  }

  Authenticator(Environment environment) {
    this.environment = environment;
    this.openAccess = new TeamAccess.Open(environment);
  }

  /** Returns the access of requests while the configuration has no teams. */
  TeamAccess openAccess() {
    return openAccess;
  }

  /** Checks the key of a request against the configuration in force. */
  Access check(Route route, HttpHeaders headers) {
    if (environment.routes().get().teams().isEmpty() || route.anonymous()) {
      return OPEN;
    }
    // The age is read before the teams: they may be newer than the confirmation, but not older.
    boolean current = environment.settings().teams().allowKeys(environment.confirmation());
    TeamTable teams = environment.routes().get().teams();
    Team team = find(teams, headers);
    if (team == null) {
      return additionsMayBeMissing()
          ? new Access.Unconfirmed("stale_configuration")
          : new Access.Rejected(headers.contains(HttpHeaderNames.AUTHORIZATION) ? "key" : "no_key");
    }
    return current ? new Access.Member(team) : new Access.Unconfirmed("unconfirmed_key");
  }

  /** Returns the team that the key of a request belongs to in the configuration in force. */
  Optional<Team> teamOf(HttpHeaders headers) {
    return Optional.ofNullable(find(environment.routes().get().teams(), headers));
  }

  /**
   * Whether a key may have been added that this instance does not know. The age that peers tell of
   * the configuration does not count: it leaves out the time that their messages take.
   */
  private boolean additionsMayBeMissing() {
    return environment.confirmation().ageNanos() > MAX_CONFIRMATION_AGE_NANOS;
  }

  private static @Nullable Team find(TeamTable teams, HttpHeaders headers) {
    List<String> values = headers.getAll(HttpHeaderNames.AUTHORIZATION);
    if (values.size() != 1 || !carriesToken(values.getFirst())) {
      return null;
    }
    return teams.find(values.getFirst().substring(SCHEME.length()).strip());
  }

  /** Whether the value of an Authorization header has the scheme of the keys. */
  static boolean carriesToken(String authorization) {
    return authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
  }
}
