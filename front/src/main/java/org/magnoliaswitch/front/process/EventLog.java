package org.magnoliaswitch.front.process;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.FormatMethod;
import com.google.errorprone.annotations.FormatString;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.RateLimit;

/**
 * One line of key=value pairs for each decision that touches a request or changes a belief.
 *
 * <p>The volume is bounded, so that a burst is not slowed by its own log: successes have a budget,
 * failures and beliefs a larger one of their own, and what is left out is counted and told.
 */
public final class EventLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Lines a second for requests that went well. */
  private static final double SUCCESS_LINES_PER_SECOND = 200;

  /** Lines a second for everything else. */
  private static final double FAILURE_LINES_PER_SECOND = 500;

  private final Clocks clocks;
  private final RateLimit successes;
  private final RateLimit failures;
  private long dropped;

  public EventLog(Clocks clocks) {
    this.clocks = clocks;
    this.successes = new RateLimit(SUCCESS_LINES_PER_SECOND, clocks.nanos());
    this.failures = new RateLimit(FAILURE_LINES_PER_SECOND, clocks.nanos());
  }

  /** A decision on a request that goes well. */
  @FormatMethod
  public void routine(String event, @FormatString String format, Object... values) {
    write(successes, SUCCESS_LINES_PER_SECOND, event, format, values);
  }

  /** A decision on a request that does not go well. */
  @FormatMethod
  public void trouble(String event, @FormatString String format, Object... values) {
    write(failures, FAILURE_LINES_PER_SECOND, event, format, values);
  }

  /** A change of what this process believes. */
  @FormatMethod
  public void belief(String event, @FormatString String format, Object... values) {
    write(failures, FAILURE_LINES_PER_SECOND, event, format, values);
  }

  @FormatMethod
  private synchronized void write(
      RateLimit limit,
      double perSecond,
      String event,
      @FormatString String format,
      Object[] values) {
    if (!limit.take(perSecond, clocks.nanos())) {
      dropped++;
      return;
    }
    if (dropped > 0) {
      logger.atInfo().log("event=lines_dropped count=%d", dropped);
      dropped = 0;
    }
    logger.atInfo().log("event=%s %s", event, String.format(format, values));
  }
}
