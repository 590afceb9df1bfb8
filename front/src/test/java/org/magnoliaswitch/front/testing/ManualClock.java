package org.magnoliaswitch.front.testing;

import com.google.common.base.Ticker;
import java.time.InstantSource;
import org.magnoliaswitch.core.clock.Clocks;

/** Monotonic time that stands still until a test advances it. */
public final class ManualClock extends Ticker {
  private long nanos;

  @Override
  public long read() {
    return nanos;
  }

  /** Lets time pass. */
  public void advance(long byNanos) {
    nanos += byNanos;
  }

  /** The clocks of a process that lives in this time. */
  public Clocks clocks() {
    return new Clocks(InstantSource.system(), this);
  }
}
