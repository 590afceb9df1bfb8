package org.magnoliaswitch.core.process;

import java.util.Optional;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;

/** Claims of callers' own keys in the platform's table. */
public interface KeyClaims {
  /** Claims a key; waits for the result at most until the time is up. */
  ClaimResult claim(Claim claim, int windowMillis, long waitNanos);

  /** The incarnation that holds a key by its claim row, if the table says. */
  Optional<String> holder(String key);
}
