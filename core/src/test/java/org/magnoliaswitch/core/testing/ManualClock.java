package org.magnoliaswitch.core.testing;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliaswitch.core.clock.Clocks;

/** A wall clock and a monotonic clock that change only when a test advances them. */
public final class ManualClock extends Ticker implements InstantSource {
  private static final long START_MILLIS = 1_800_000_000_000L;

  private final AtomicLong nanos = new AtomicLong(1_000_000_000L);

  @Override
  public long read() {
    return nanos.get();
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(START_MILLIS + nanos.get() / 1_000_000L);
  }

  /** Advances both clocks. */
  public void advance(Duration duration) {
    nanos.addAndGet(duration.toNanos());
  }

  /** Returns this object as the clocks of a process. */
  public Clocks clocks() {
    return new Clocks(this, this);
  }
}
