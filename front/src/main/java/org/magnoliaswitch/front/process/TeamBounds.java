package org.magnoliaswitch.front.process;

import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.load.QuotaBounds;

/**
 * Bounds on the requests of teams that a deployment sets.
 *
 * @param strictRevocation whether requests with a key are served only while the configuration is
 *     known to have been the newest within the revocation time
 * @param revocationNanos time from the acknowledgement of a configuration that revokes a key until
 *     no request with that key may be served
 * @param quota how the quotas of teams are counted
 */
public record TeamBounds(boolean strictRevocation, long revocationNanos, QuotaBounds quota) {
  /**
   * Part of the revocation time that is kept for the way of a request from a check to its server.
   */
  private static final long REVOCATION_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Bounds of a deployment that sets none. */
  public static final TeamBounds DEFAULT =
      new TeamBounds(
          false, TimeUnit.SECONDS.toNanos(5), new QuotaBounds(TimeUnit.SECONDS.toNanos(5), 0, 0));

  /**
   * Whether requests with a key may be served: no revocation can be missing that is older than the
   * revocation time.
   */
  public boolean allowKeys(ConfigurationConfirmation confirmation) {
    return !strictRevocation || confirmation.ageNanos() < revocationNanos - REVOCATION_MARGIN_NANOS;
  }
}
