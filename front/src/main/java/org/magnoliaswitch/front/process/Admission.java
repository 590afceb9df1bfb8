package org.magnoliaswitch.front.process;

import org.magnoliaswitch.front.load.QuotaAllowance;
import org.magnoliaswitch.front.version.Team;

/** Whether a request is within the quota of its team. */
public sealed interface Admission {
  /** The request is admitted. */
  record Admitted(Permit permit) implements Admission {}

  /**
   * The request is beyond the quota.
   *
   * @param retryAfterNanos time until the rate allows it
   * @param state why this instance may admit nothing more now
   */
  record OverQuota(long retryAfterNanos, QuotaState state) implements Admission {}

  /** What an instance knows of a team's quota when it refuses a request. */
  enum QuotaState {
    /** The seed has closed the team, and the allowance of this instance is used up. */
    CLOSED,
    /** The team is open, and this instance has admitted what it may until the seed answers. */
    OPEN,
    /** The seed does not answer, and the allowance of this instance is used up. */
    UNANSWERED
  }

  /** The quota is not known, because no seed can be reached or this instance has just started. */
  record Unknown() implements Admission {}

  /** A place within the quota of a team that one request has taken. */
  sealed interface Permit {
    /** The team whose quota it is. */
    Team team();

    /** Returns the place, because the request was not sent to any server. */
    void giveBack();
  }

  /** A permit of a team without a limit. */
  record Unlimited(Team team) implements Permit {
    @Override
    public void giveBack() {
      // Nothing is counted.
    }
  }

  /** A permit of a team with a limit. */
  record Limited(Team team, QuotaAllowance allowance) implements Permit {
    @Override
    public void giveBack() {
      allowance.giveBack();
    }
  }
}
