package org.magnoliaswitch.core.process;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * Time of the last contact with a peer or the platform, from which this instance receives newer
 * versions. Thread-safe.
 */
public final class LastContact {
  /**
   * An update reaches all instances within a second or two; an instance without any contact for
   * much longer is isolated.
   */
  private static final long ISOLATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Clocks clocks;
  private volatile @Nullable Long lastNanos;

  public LastContact(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Records a contact with a peer or the platform. */
  public void recordContact() {
    lastNanos = clocks.nanos();
  }

  /**
   * Returns whether this instance had no contact for so long that it may have missed a newer
   * version.
   */
  public boolean isolated() {
    Long last = lastNanos;
    return last == null || clocks.nanos() - last > ISOLATION_TIMEOUT_NANOS;
  }
}
