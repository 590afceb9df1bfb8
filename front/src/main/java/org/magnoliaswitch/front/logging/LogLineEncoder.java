package org.magnoliaswitch.front.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/** Encodes a log event as one line of key=value pairs. */
final class LogLineEncoder extends EncoderBase<ILoggingEvent> {
  private static final byte[] NO_BYTES = new byte[0];
  private static final long MILLIS_PER_SECOND = 1_000;

  private volatile Second lastSecond = new Second(0);

  /**
   * A second and its text without a fraction. Formatting a calendar date takes longer than the rest
   * of a line, and lines of one request share a second.
   */
  private record Second(long epochSecond, String text) {
    Second(long epochSecond) {
      this(epochSecond, withoutZone(Instant.ofEpochSecond(epochSecond).toString()));
    }

    private static String withoutZone(String text) {
      return text.substring(0, text.length() - 1);
    }
  }

  @Override
  public byte[] headerBytes() {
    return NO_BYTES;
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(160);
    appendTime(line.append("time="), event.getTimeStamp());
    line.append(" level=").append(event.getLevel());
    line.append(' ').append(removeLineBreaks(event.getFormattedMessage()));
    IThrowableProxy cause = event.getThrowableProxy();
    if (cause != null) {
      line.append(" exception=").append(cause.getClassName());
      line.append(" cause=").append(removeLineBreaks(String.valueOf(cause.getMessage())));
      if (cause.getStackTraceElementProxyArray().length > 0) {
        line.append(" at=")
            .append(cause.getStackTraceElementProxyArray()[0].getStackTraceElement());
      }
    }
    return line.append('\n').toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Appends a time as {@link Instant#toString} has it, which omits a fraction of zero. */
  private void appendTime(StringBuilder line, long epochMillis) {
    long epochSecond = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
    Second second = lastSecond;
    if (second.epochSecond() != epochSecond) {
      second = new Second(epochSecond);
      lastSecond = second;
    }
    line.append(second.text());
    long millis = Math.floorMod(epochMillis, MILLIS_PER_SECOND);
    if (millis > 0) {
      line.append(millis < 10 ? ".00" : millis < 100 ? ".0" : ".").append(millis);
    }
    line.append('Z');
  }

  /** Removes line breaks, since a caller could forge log lines with a request id that has one. */
  private static String removeLineBreaks(String text) {
    if (text.indexOf('\n') < 0 && text.indexOf('\r') < 0) {
      return text;
    }
    return text.replace('\n', ' ').replace('\r', ' ');
  }

  @Override
  public byte[] footerBytes() {
    return NO_BYTES;
  }
}
