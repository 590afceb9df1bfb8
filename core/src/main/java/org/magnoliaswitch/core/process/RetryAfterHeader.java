package org.magnoliaswitch.core.process;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Reads the header with which a server requests a pause of some seconds. */
public final class RetryAfterHeader {
  /** Name of the header. */
  public static final String NAME = "Retry-After";

  private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}([.][0-9]{1,9})?");
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private RetryAfterHeader() {}

  /**
   * Returns the duration in nanoseconds, or empty if the value is absent or not a number of
   * seconds: a date is of no use to a process that relies on the monotonic clock.
   */
  public static OptionalLong nanos(@Nullable String value) {
    return value != null && SECONDS.matcher(value.strip()).matches()
        ? OptionalLong.of((long) (Double.parseDouble(value.strip()) * NANOS_PER_SECOND))
        : OptionalLong.empty();
  }
}
