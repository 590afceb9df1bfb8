package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.magnoliaswitch.front.load.TeamStanding;
import org.magnoliaswitch.front.process.Admission;
import org.magnoliaswitch.front.process.Environment;

/**
 * The right of one request to be sent, by the team that its key belongs to. Checked again at each
 * send, because keys are revoked and move between teams while requests wait.
 */
sealed interface TeamAccess permits KeyedAccess, TeamAccess.Open {
  /** Checks whether the request may be sent now; empty if it may. */
  Optional<Denial> check();

  /** Ends the access; returns the place within the quota if nothing was sent to any server. */
  void giveBack();

  /** Name of the team; empty if the request needs no key or its key is unknown. */
  String team();

  /** Priority of the team; 0 without one. */
  int priority();

  /** Whether the team asks for more than its rate. */
  TeamStanding standing();

  /** Time since what is known of the quota was current, in milliseconds; -1 if nothing is known. */
  long quotaAgeMillis();

  /** State of the quota for which the request was refused; empty if it was not. */
  Optional<Admission.QuotaState> refusedBy();

  /**
   * Replaces the headers about keys and teams in a request that is sent to a server now: the server
   * must not see the key, and must be able to rely on the team.
   */
  void replaceHeaders(HttpHeaders forwarded);

  /** The access of all requests while the configuration has no teams. */
  record Open(Environment environment) implements TeamAccess {
    @Override
    public Optional<Denial> check() {
      return environment.routes().get().teams().isEmpty()
          ? Optional.empty()
          : Optional.of(new Denial.Unavailable("teams_added"));
    }

    @Override
    public void giveBack() {
      // Without teams there are no quotas.
    }

    @Override
    public String team() {
      return "";
    }

    @Override
    public int priority() {
      return 0;
    }

    @Override
    public TeamStanding standing() {
      return TeamStanding.WITHIN_RATE;
    }

    @Override
    public long quotaAgeMillis() {
      return -1;
    }

    @Override
    public Optional<Admission.QuotaState> refusedBy() {
      return Optional.empty();
    }

    @Override
    public void replaceHeaders(HttpHeaders forwarded) {
      // Without teams, all headers of the caller are its own.
    }
  }
}
