package org.magnoliaswitch.core.request;

import java.util.concurrent.TimeUnit;

/**
 * The time by which a caller needs its answer.
 *
 * @param atNanos monotonic time
 */
public record Deadline(long atNanos) {
  /** A deadline some milliseconds from now. */
  public static Deadline after(long nowNanos, long millis) {
    return new Deadline(nowNanos + TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Time left in nanoseconds; negative when it has passed. */
  public long remaining(long nowNanos) {
    return atNanos - nowNanos;
  }

  /** Whether it has passed. */
  public boolean expired(long nowNanos) {
    return remaining(nowNanos) <= 0;
  }
}
