package org.magnoliaswitch.front.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

/** Tests the format of log lines. */
public final class LogLineEncoderTest {
  private static String line(String message, @Nullable Throwable cause) {
    return line(new LogLineEncoder(), 0, message, cause);
  }

  private static String line(
      LogLineEncoder encoder, long epochMillis, String message, @Nullable Throwable cause) {
    Logger logger = new LoggerContext().getLogger("x");
    LoggingEvent event = new LoggingEvent("x", logger, Level.INFO, message, cause, null);
    event.setTimeStamp(epochMillis);
    return new String(encoder.encode(event), StandardCharsets.UTF_8);
  }

  @Test
  public void eventIsEncodedAsOneLine() {
    assertEquals(
        line("event=end a=1", null), "time=1970-01-01T00:00:00Z level=INFO event=end a=1\n");
  }

  /**
   * Guards against a time that is taken from an earlier line: the encoder keeps the text of a
   * second, and lines of different seconds alternate around its end.
   */
  @Test
  public void timeIsThatOfTheEventAsTheStandardLibraryFormatsIt() {
    LogLineEncoder encoder = new LogLineEncoder();
    long second = 1_700_000_000_000L;
    long[] times = {
      0, 7, 1_000, 999, -1, second, second + 50, second - 1, second + 600, 86_400_000
    };
    for (long time : times) {
      String expected = "time=" + Instant.ofEpochMilli(time) + " level=INFO event=end\n";
      assertEquals(line(encoder, time, "event=end", null), expected);
    }
  }

  /** Guards against a caller that forges a log line with a line break in a request id. */
  @Test
  public void lineBreakInAValueIsRemoved() {
    String line = line("event=end request=1\nevent=end request=2", null);
    assertEquals(line.indexOf('\n'), line.length() - 1);
  }

  @Test
  public void exceptionIsNamedOnTheSameLine() {
    String line = line("event=task_failed", new IllegalStateException("two\nlines"));
    assertTrue(line.contains("exception=java.lang.IllegalStateException cause=two lines"), line);
    assertEquals(line.indexOf('\n'), line.length() - 1);
  }
}
