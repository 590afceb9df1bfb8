package org.magnoliaswitch.front.testing;

import com.google.common.base.Ticker;
import java.time.InstantSource;
import org.magnoliaswitch.core.clock.Clocks;

/** Monotonic time that only a test advances. */
public final class ManualClock extends Ticker {
  private long nanos;

  @Override
  public long read() {
    return nanos;
  }

  /** Advances the time. */
  public void advance(long byNanos) {
    nanos += byNanos;
  }

  /** Clocks whose monotonic time is this one. */
  public Clocks clocks() {
    return new Clocks(InstantSource.system(), this);
  }
}
