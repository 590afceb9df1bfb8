package org.magnoliaswitch.core.process;

import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;

/** Claims of callers' own keys in the platform's table. */
public interface KeyClaims {
  /** Claims a key; waits for the result at most for the given time. */
  ClaimResult claim(Claim claim, int windowMillis, long waitNanos);

  /**
   * Returns the incarnation that holds a key according to its claim row, or empty if the row is
   * absent or cannot be read.
   */
  Optional<String> holder(String key);

  /**
   * Returns in how many seconds a request should come again whose key is held back after a restore
   * of the platform, or empty if keys with this retention are not held back.
   */
  OptionalLong retryAfterSeconds(long retentionSeconds);
}
