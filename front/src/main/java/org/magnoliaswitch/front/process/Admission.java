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
   */
  record OverQuota(long retryAfterNanos) implements Admission {}

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
