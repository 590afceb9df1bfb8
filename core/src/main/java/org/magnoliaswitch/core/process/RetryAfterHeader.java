package org.magnoliaswitch.core.process;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Reads the header by which a server asks for a pause of some seconds. */
public final class RetryAfterHeader {
  /** Name of the header. */
  public static final String NAME = "Retry-After";

  private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}([.][0-9]{1,9})?");
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private RetryAfterHeader() {}

  /**
   * The time that a value names, in nanoseconds; nothing if there is none, or if it is no number of
   * seconds: a date says nothing to a process that keeps to the monotonic clock.
   */
  public static OptionalLong nanos(@Nullable String value) {
    return value != null && SECONDS.matcher(value.strip()).matches()
        ? OptionalLong.of((long) (Double.parseDouble(value.strip()) * NANOS_PER_SECOND))
        : OptionalLong.empty();
  }
}
