package org.magnoliaswitch.front.process;

import java.util.concurrent.TimeUnit;

/** How long ago what this instance believes was confirmed by the platform; used by one thread. */
public final class Freshness {
  /** Told to peers while nothing has been confirmed yet. */
  private static final long NEVER_MILLIS = TimeUnit.DAYS.toMillis(1);

  private boolean ever;
  private long confirmedNanos;

  /** Notes that what is believed was true at a moment. */
  public void confirmed(long atNanos) {
    if (!ever || atNanos - confirmedNanos > 0) {
      confirmedNanos = atNanos;
    }
    ever = true;
  }

  /** Age of the last confirmation. */
  public long ageMillis(long nowNanos) {
    return ever ? TimeUnit.NANOSECONDS.toMillis(nowNanos - confirmedNanos) : NEVER_MILLIS;
  }
}
