package org.magnoliaswitch.front.process;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Tracks when a part of this instance's state was last confirmed by the platform. Updated by one
 * thread, readable from any.
 */
public final class Freshness {
  /** Age that is reported to peers while nothing has been confirmed yet. */
  private static final long NEVER_MILLIS = TimeUnit.DAYS.toMillis(1);

  /** Time of the last confirmation; a record, so that it is replaced atomically. */
  private record Confirmation(long atNanos) {}

  private volatile @Nullable Confirmation last;

  /**
   * Records that the state was up to date at the given time, unless a later time is recorded
   * already.
   */
  public void confirmed(long atNanos) {
    Confirmation before = last;
    if (before == null || atNanos - before.atNanos() > 0) {
      last = new Confirmation(atNanos);
    }
  }

  /** Returns the time since the last confirmation. */
  public long ageMillis(long nowNanos) {
    Confirmation known = last;
    return known == null ? NEVER_MILLIS : TimeUnit.NANOSECONDS.toMillis(nowNanos - known.atNanos());
  }
}
