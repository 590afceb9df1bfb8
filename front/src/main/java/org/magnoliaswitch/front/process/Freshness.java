package org.magnoliaswitch.front.process;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * How long ago a part of what this instance believes was confirmed by the platform. Noted by one
 * thread, asked by any.
 */
public final class Freshness {
  /** Told to peers while nothing has been confirmed yet. */
  private static final long NEVER_MILLIS = TimeUnit.DAYS.toMillis(1);

  /** The moment of the last confirmation, swapped as a whole. */
  private record Confirmation(long atNanos) {}

  private volatile @Nullable Confirmation last;

  /** Notes that what is believed was true at a moment. */
  public void confirmed(long atNanos) {
    Confirmation before = last;
    if (before == null || atNanos - before.atNanos() > 0) {
      last = new Confirmation(atNanos);
    }
  }

  /** Age of the last confirmation. */
  public long ageMillis(long nowNanos) {
    Confirmation known = last;
    return known == null ? NEVER_MILLIS : TimeUnit.NANOSECONDS.toMillis(nowNanos - known.atNanos());
  }
}
