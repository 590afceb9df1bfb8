package org.magnoliaswitch.core.process;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * When this instance last heard from a peer or from the platform which version is the newest. Safe
 * for several threads.
 */
public final class LastContact {
  /**
   * News takes a second or two to reach all; an instance that hears nothing for longer is alone.
   */
  private static final long ISOLATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Clocks clocks;
  private volatile @Nullable Long lastNanos;

  public LastContact(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Notes that a peer or the platform has answered. */
  public void recordContact() {
    lastNanos = clocks.nanos();
  }

  /** Whether nobody has told this instance for some time which version is the newest. */
  public boolean isolated() {
    Long last = lastNanos;
    return last == null || clocks.nanos() - last > ISOLATION_TIMEOUT_NANOS;
  }
}
