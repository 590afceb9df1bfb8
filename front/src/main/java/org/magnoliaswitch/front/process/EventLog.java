package org.magnoliaswitch.front.process;

import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one line of key=value pairs for each decision about a request and each change of this
 * instance's state.
 *
 * <p>The volume is bounded, so that logging does not slow down a burst of requests: successes have
 * a budget, failures and state changes share a separate larger one, and the number of dropped lines
 * is logged. Lines are built by appending: parsing a format string for each line takes a fifth of
 * the processor time of a request while the code is not yet compiled. For the same reason they are
 * passed to the log directly: the fluent logger of other classes walks the stack for each line.
 */
public final class EventLog {
  private static final Logger logger = LoggerFactory.getLogger(EventLog.class);

  /** Maximum number of lines per second about successful requests. */
  private static final double SUCCESS_LINES_PER_SECOND = 200;

  /** Maximum number of other lines per second. */
  private static final double FAILURE_LINES_PER_SECOND = 500;

  private static final int INITIAL_CAPACITY = 160;
  private static final Line DROPPED = new Line(null);

  private final Clocks clocks;
  private final TokenBucket successes;
  private final TokenBucket failures;
  private long dropped;

  public EventLog(Clocks clocks) {
    this.clocks = clocks;
    this.successes = new TokenBucket(SUCCESS_LINES_PER_SECOND, clocks.nanos());
    this.failures = new TokenBucket(FAILURE_LINES_PER_SECOND, clocks.nanos());
  }

  /** A line under construction; {@link #write} passes it to the log. */
  public static final class Line {
    private static final int HUNDREDTHS = 100;
    private static final Pattern CONTROL = Pattern.compile("\\p{Cntrl}");

    private final @Nullable StringBuilder text;

    private Line(@Nullable StringBuilder text) {
      this.text = text;
    }

    /** Appends a text, which is quoted if it contains spaces or control characters. */
    public Line add(String key, String value) {
      if (text != null) {
        text.append(' ').append(key).append('=').append(quoted(value));
      }
      return this;
    }

    /**
     * Quotes a value with a space or line break: a text supplied by a caller could otherwise be
     * taken for further pairs or lines.
     */
    private static String quoted(String value) {
      for (int i = 0; i < value.length(); i++) {
        if (value.charAt(i) <= ' ') {
          return '"' + CONTROL.matcher(value).replaceAll(" ").replace('"', '\'') + '"';
        }
      }
      return value;
    }

    /** Appends an integer. */
    public Line add(String key, long value) {
      if (text != null) {
        text.append(' ').append(key).append('=').append(value);
      }
      return this;
    }

    /** Appends a number with two decimals. */
    public Line addDecimal(String key, double value) {
      if (text != null) {
        long hundredths = Math.round(value * HUNDREDTHS);
        long rest = Math.abs(hundredths % HUNDREDTHS);
        text.append(' ').append(key).append('=');
        text.append(hundredths < 0 ? "-" : "").append(Math.abs(hundredths / HUNDREDTHS));
        text.append(rest < 10 ? ".0" : ".").append(rest);
      }
      return this;
    }

    /** Passes the line to the log; never blocks. */
    public void write() {
      if (text != null) {
        logger.info(text.toString());
      }
    }
  }

  /** Starts a line about a request that proceeds normally. */
  public Line success(String event) {
    return line(successes, SUCCESS_LINES_PER_SECOND, event);
  }

  /** Starts a line about a failure. */
  public Line failure(String event) {
    return line(failures, FAILURE_LINES_PER_SECOND, event);
  }

  /** Starts a line about a change of this instance's state. */
  public Line stateChange(String event) {
    return line(failures, FAILURE_LINES_PER_SECOND, event);
  }

  private synchronized Line line(TokenBucket limit, double perSecond, String event) {
    if (!limit.tryTake(perSecond, clocks.nanos())) {
      dropped++;
      return DROPPED;
    }
    if (dropped > 0) {
      logger.info("event=lines_dropped count=" + dropped);
      dropped = 0;
    }
    return new Line(new StringBuilder(INITIAL_CAPACITY).append("event=").append(event));
  }
}
