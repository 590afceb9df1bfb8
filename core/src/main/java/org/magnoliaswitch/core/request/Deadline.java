package org.magnoliaswitch.core.request;

import java.util.concurrent.TimeUnit;

/**
 * The time by which a caller needs the answer.
 *
 * @param atNanos monotonic time
 */
public record Deadline(long atNanos) {
  /** Creates a deadline that is the given number of milliseconds from now. */
  public static Deadline after(long nowNanos, long millis) {
    return new Deadline(nowNanos + TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Remaining time in nanoseconds; negative after the deadline. */
  public long remaining(long nowNanos) {
    return atNanos - nowNanos;
  }

  /** Whether the deadline has passed. */
  public boolean expired(long nowNanos) {
    return remaining(nowNanos) <= 0;
  }
}
