package org.magnoliaswitch.front.testing;

import com.google.common.base.Ticker;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.clock.Clocks;

/** Monotonic time that only a test advances. */
public final class ManualClock extends Ticker {
  private volatile long nanos;
  private volatile long wallClockMillis = 1_000_000;

  @Override
  public long read() {
    return nanos;
  }

  /** Advances the time. */
  public void advance(long byNanos) {
    nanos = nanos + byNanos;
  }

  /** Advances the wall clock only, as a suspended machine or a corrected clock does. */
  public void advanceWallClock(long byMillis) {
    wallClockMillis = wallClockMillis + byMillis;
  }

  /** Clocks of which both follow this one. */
  public Clocks withWallClock() {
    return new Clocks(
        () -> Instant.ofEpochMilli(wallClockMillis + TimeUnit.NANOSECONDS.toMillis(nanos)), this);
  }

  /** Clocks whose monotonic time is this one. */
  public Clocks clocks() {
    return new Clocks(InstantSource.system(), this);
  }
}
