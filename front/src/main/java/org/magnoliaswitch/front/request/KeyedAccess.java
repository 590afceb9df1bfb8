package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.load.TeamStanding;
import org.magnoliaswitch.front.process.Admission;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.Team;

/**
 * The right of one request to be sent: the team that its key belongs to, and its place within the
 * team's quota. Checked again at each send, because keys are revoked and move between teams while
 * requests wait.
 */
final class KeyedAccess implements TeamAccess {
  private final Environment environment;
  private final Authenticator authenticator;
  private final Route route;
  private final HttpHeaders headers;
  private @Nullable Team team;
  private TeamStanding standing = TeamStanding.WITHIN_RATE;
  private Admission.@Nullable Permit permit;
  private Optional<Admission.QuotaState> refusedBy = Optional.empty();

  /** Whether the request has been sent to a server with the permit. */
  private boolean sent;

  KeyedAccess(
      Environment environment, Authenticator authenticator, Route route, HttpHeaders headers) {
    this.environment = environment;
    this.authenticator = authenticator;
    this.route = route;
    this.headers = headers;
  }

  @Override
  public Optional<Denial> check() {
    return switch (authenticator.check(route, headers)) {
      case Authenticator.Access.Open open -> Optional.empty();
      case Authenticator.Access.Member member -> admit(member.team());
      case Authenticator.Access.Rejected rejected ->
          Optional.of(new Denial.Unauthorized(rejected.reason()));
      case Authenticator.Access.Unconfirmed unconfirmed -> {
        team = authenticator.teamOf(headers).orElse(null);
        yield Optional.of(new Denial.Unavailable(unconfirmed.reason()));
      }
    };
  }

  /** Admits the request once for each team that its key belongs to while it is processed. */
  private Optional<Denial> admit(Team member) {
    team = member;
    if (permit != null && permit.team().name().equals(member.name())) {
      return Optional.empty();
    }
    giveBack();
    standing = environment.teamQuotas().standing(member.name());
    return switch (environment.teamQuotas().admit(member)) {
      case Admission.Admitted admitted -> {
        permit = admitted.permit();
        sent = false;
        yield Optional.empty();
      }
      case Admission.OverQuota over -> {
        refusedBy = Optional.of(over.state());
        yield Optional.of(new Denial.OverQuota("quota", over.retryAfterNanos()));
      }
      case Admission.Unknown unknown -> Optional.of(new Denial.Unavailable("quota_unknown"));
    };
  }

  @Override
  public void giveBack() {
    if (permit != null && !sent) {
      permit.giveBack();
    }
    permit = null;
  }

  @Override
  public String team() {
    return team == null ? "" : team.name();
  }

  @Override
  public int priority() {
    return team == null ? 0 : team.priority();
  }

  @Override
  public TeamStanding standing() {
    return standing;
  }

  @Override
  public long quotaAgeMillis() {
    return team == null ? -1 : environment.teamQuotas().knownSinceMillis(team.name());
  }

  @Override
  public Optional<Admission.QuotaState> refusedBy() {
    return refusedBy;
  }

  @Override
  public void replaceHeaders(HttpHeaders forwarded) {
    List<String> kept =
        permit == null
            ? forwarded.getAll(HttpHeaderNames.AUTHORIZATION).stream()
                .filter(value -> !Authenticator.carriesToken(value))
                .toList()
            : List.of();
    forwarded.remove(HttpHeaderNames.AUTHORIZATION);
    if (!kept.isEmpty()) {
      forwarded.set(HttpHeaderNames.AUTHORIZATION, kept);
    }
    forwarded.remove(environment.names().team());
    if (permit != null) {
      sent = true;
      forwarded.set(environment.names().team(), permit.team().name());
    }
  }
}
