package org.magnoliaswitch.front.process;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * Tracks when the configuration of this instance was last known for certain to be the newest.
 *
 * <p>Unlike {@link Freshness}, it also counts the time for which the machine was suspended: the
 * monotonic clock stands still meanwhile, but the wall clock does not. The larger of both elapsed
 * times counts, so a jump of the wall clock can only make the configuration look older. Updated by
 * one thread, readable from any.
 */
public final class ConfigurationConfirmation {
  /** Age that is reported while nothing has been confirmed yet. */
  private static final long NEVER_NANOS = TimeUnit.DAYS.toNanos(1);

  private final Clocks clocks;
  private volatile @Nullable Moment last;

  /**
   * A point in time by both clocks.
   *
   * @param nanos monotonic time
   * @param millis wall-clock time
   */
  public record Moment(long nanos, long millis) {
    /** Returns the point in time that is so much earlier. */
    public Moment minusMillis(long before) {
      return new Moment(nanos - TimeUnit.MILLISECONDS.toNanos(before), millis - before);
    }

    /** Returns the point in time that is so much later. */
    public Moment plusMillis(long after) {
      return minusMillis(-after);
    }

    /** Returns the time from this moment to a later one, by the clock that shows more. */
    public long nanosUntil(Moment later) {
      return Math.max(
          later.nanos() - nanos, TimeUnit.MILLISECONDS.toNanos(later.millis() - millis));
    }
  }

  public ConfigurationConfirmation(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Returns the current time. */
  public Moment now() {
    return new Moment(clocks.nanos(), clocks.millis());
  }

  /** Records that the configuration was the newest at a time, unless a later time is recorded. */
  public void confirmed(Moment asOf) {
    Moment before = last;
    Moment now = now();
    if (before == null || asOf.nanosUntil(now) < before.nanosUntil(now)) {
      last = asOf;
    }
  }

  /** Whether anything has been confirmed since the start. */
  public boolean known() {
    return last != null;
  }

  /** Returns the time since the configuration was confirmed. */
  public long ageNanos() {
    Moment confirmed = last;
    return confirmed == null ? NEVER_NANOS : confirmed.nanosUntil(now());
  }

  /**
   * Returns the time for which the machine has been suspended since the configuration was
   * confirmed: what the wall clock shows more than the monotonic clock.
   */
  public long suspendedNanos() {
    Moment confirmed = last;
    if (confirmed == null) {
      return 0;
    }
    Moment now = now();
    return confirmed.nanosUntil(now) - (now.nanos() - confirmed.nanos());
  }
}
