package org.magnoliaswitch.front.process;

import com.google.common.flogger.FluentLogger;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.TokenBucket;

/**
 * One line of key=value pairs for each decision that touches a request or changes a belief.
 *
 * <p>The volume is bounded, so that a burst is not slowed by its own log: successes have a budget,
 * failures and beliefs a larger one of their own, and what is left out is counted and told. Lines
 * are put together by appending: a format string was parsed anew for each line, a fifth of the
 * processor time of a request that runs on code that is not compiled yet.
 */
public final class EventLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Lines a second for requests that went well. */
  private static final double SUCCESS_LINES_PER_SECOND = 200;

  /** Lines a second for everything else. */
  private static final double FAILURE_LINES_PER_SECOND = 500;

  private static final int USUAL_LENGTH = 160;
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

  /** A line that is being put together; it goes out with {@link #write}. */
  public static final class Line {
    private static final int HUNDREDTHS = 100;
    private static final Pattern CONTROL = Pattern.compile("\\p{Cntrl}");

    private final @Nullable StringBuilder text;

    private Line(@Nullable StringBuilder text) {
      this.text = text;
    }

    /** Adds a word. */
    public Line add(String key, String value) {
      if (text != null) {
        text.append(' ').append(key).append('=').append(oneWord(value));
      }
      return this;
    }

    /**
     * A caller's own text with a space or line break in it could look like further pairs or lines.
     */
    private static String oneWord(String value) {
      for (int i = 0; i < value.length(); i++) {
        if (value.charAt(i) <= ' ') {
          return '"' + CONTROL.matcher(value).replaceAll(" ").replace('"', '\'') + '"';
        }
      }
      return value;
    }

    /** Adds a whole number. */
    public Line add(String key, long value) {
      if (text != null) {
        text.append(' ').append(key).append('=').append(value);
      }
      return this;
    }

    /** Adds a number with two decimals. */
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

    /** Hands the line to the log; never blocks. */
    public void write() {
      if (text != null) {
        logger.atInfo().log("%s", text);
      }
    }
  }

  /** A decision on a request that goes well. */
  public Line success(String event) {
    return line(successes, SUCCESS_LINES_PER_SECOND, event);
  }

  /** A decision on a request that does not go well. */
  public Line failure(String event) {
    return line(failures, FAILURE_LINES_PER_SECOND, event);
  }

  /** A change of what this process believes. */
  public Line stateChange(String event) {
    return line(failures, FAILURE_LINES_PER_SECOND, event);
  }

  private synchronized Line line(TokenBucket limit, double perSecond, String event) {
    if (!limit.tryTake(perSecond, clocks.nanos())) {
      dropped++;
      return DROPPED;
    }
    if (dropped > 0) {
      logger.atInfo().log("event=lines_dropped count=%d", dropped);
      dropped = 0;
    }
    return new Line(new StringBuilder(USUAL_LENGTH).append("event=").append(event));
  }
}
