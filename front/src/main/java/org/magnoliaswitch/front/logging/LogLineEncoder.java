package org.magnoliaswitch.front.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/** Writes an event as one line of key=value pairs. */
final class LogLineEncoder extends EncoderBase<ILoggingEvent> {
  private static final byte[] NOTHING = new byte[0];

  @Override
  public byte[] headerBytes() {
    return NOTHING;
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(160);
    line.append("time=").append(Instant.ofEpochMilli(event.getTimeStamp()));
    line.append(" level=").append(event.getLevel());
    line.append(' ').append(oneLine(event.getFormattedMessage()));
    IThrowableProxy cause = event.getThrowableProxy();
    if (cause != null) {
      line.append(" exception=").append(cause.getClassName());
      line.append(" cause=").append(oneLine(String.valueOf(cause.getMessage())));
      if (cause.getStackTraceElementProxyArray().length > 0) {
        line.append(" at=")
            .append(cause.getStackTraceElementProxyArray()[0].getStackTraceElement());
      }
    }
    return line.append('\n').toString().getBytes(StandardCharsets.UTF_8);
  }

  /** A request's own id could hold a line break and forge a line. */
  private static String oneLine(String text) {
    return text.replace('\n', ' ').replace('\r', ' ');
  }

  @Override
  public byte[] footerBytes() {
    return NOTHING;
  }
}
