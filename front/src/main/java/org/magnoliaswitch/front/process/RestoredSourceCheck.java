package org.magnoliaswitch.front.process;

import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.process.ConfigurationConfirmation.Moment;
import org.magnoliaswitch.front.version.OperatorState;

/**
 * Decides whether a read of the platform confirms that the configuration in force is the newest.
 *
 * <p>A platform that has been restored from a copy may return a configuration in which a key is
 * still valid that a lost version has revoked, until the operator has written that version again.
 * After a restore, a read therefore confirms the configuration only if the platform returns the one
 * in force or a newer one and this instance had a confirmed configuration before; or once the time
 * has passed after which a revoked key must not be served. Not thread-safe.
 */
final class RestoredSourceCheck {
  private final ConfigurationConfirmation confirmation;
  private final long revocationNanos;
  private long epoch;
  private long readVersion;
  private @Nullable Moment restoredSince;

  RestoredSourceCheck(ConfigurationConfirmation confirmation, long revocationNanos) {
    this.confirmation = confirmation;
    this.revocationNanos = revocationNanos;
  }

  /** Records what a read has returned; a state without a configuration leaves the last one. */
  void read(OperatorState state, Moment now) {
    long nextEpoch = state.evacuations().revision().epoch();
    if (nextEpoch > epoch) {
      epoch = nextEpoch;
      readVersion = 0;
      restoredSince = now;
    }
    if (state.routes().known()) {
      readVersion = state.routes().version();
    }
  }

  /** Whether the last read confirms the configuration in force. */
  boolean confirms(long versionInForce, Moment now) {
    Moment since = restoredSince;
    if (since == null || since.nanosUntil(now) >= revocationNanos) {
      return true;
    }
    return confirmation.known() && readVersion >= versionInForce;
  }
}
