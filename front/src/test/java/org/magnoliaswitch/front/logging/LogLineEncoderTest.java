package org.magnoliaswitch.front.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

/** Tests the format of log lines. */
public final class LogLineEncoderTest {
  private static String line(String message, @Nullable Throwable cause) {
    Logger logger = new LoggerContext().getLogger("x");
    LoggingEvent event = new LoggingEvent("x", logger, Level.INFO, message, cause, null);
    event.setTimeStamp(0);
    return new String(new LogLineEncoder().encode(event), StandardCharsets.UTF_8);
  }

  @Test
  public void eventIsEncodedAsOneLine() {
    assertEquals(
        line("event=end a=1", null), "time=1970-01-01T00:00:00Z level=INFO event=end a=1\n");
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
