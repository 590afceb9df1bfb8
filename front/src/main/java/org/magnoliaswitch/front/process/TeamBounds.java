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
  /** Bounds of a deployment that sets none. */
  public static final TeamBounds DEFAULT =
      new TeamBounds(
          false, TimeUnit.SECONDS.toNanos(5), new QuotaBounds(TimeUnit.SECONDS.toNanos(5), 0, 0));
}
