package org.magnoliaswitch.core.platform;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Highest epoch that responses of the platform have named. The epoch counts how often the platform
 * has been restored from a copy. Safe for concurrent use.
 */
final class PlatformEpoch {
  /** The wire's name of the epoch; each response carries it. */
  static final String HEADER = "Store-Era";

  /**
   * Larger values are malformed: the epoch counts restores, and no later response could exceed one.
   */
  private static final long MAX_EPOCH = (1 << 20) - 1;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AtomicLong newest = new AtomicLong();
  private final AtomicReference<String> lastUnreadable = new AtomicReference<>("");

  /** Records the epoch of a response, null if it names none. */
  void record(@Nullable String value) {
    if (value == null) {
      return;
    }
    long epoch = parse(value);
    if (epoch < 0) {
      logUnreadable(value);
      return;
    }
    long before = newest.getAndAccumulate(epoch, Math::max);
    if (epoch > before) {
      logger.atInfo().log("event=store_epoch epoch=%d before=%d", epoch, before);
    }
  }

  /** Returns the highest epoch so far, 0 if no response has named one. */
  long newest() {
    return newest.get();
  }

  private static long parse(String value) {
    try {
      long epoch = Long.parseLong(value.strip());
      return epoch > MAX_EPOCH ? -1 : epoch;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private void logUnreadable(String value) {
    if (!value.equals(lastUnreadable.getAndSet(value))) {
      logger.atWarning().log("event=store_epoch_unreadable value=%s used=%d", value, newest.get());
    }
  }
}
