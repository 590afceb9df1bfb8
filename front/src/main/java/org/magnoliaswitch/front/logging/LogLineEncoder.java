package org.magnoliaswitch.front.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/** Encodes a log event as one line of key=value pairs. */
final class LogLineEncoder extends EncoderBase<ILoggingEvent> {
  private static final byte[] NO_BYTES = new byte[0];

  @Override
  public byte[] headerBytes() {
    return NO_BYTES;
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(160);
    line.append("time=").append(Instant.ofEpochMilli(event.getTimeStamp()));
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

  /** Removes line breaks, since a caller could forge log lines with a request id that has one. */
  private static String removeLineBreaks(String text) {
    return text.replace('\n', ' ').replace('\r', ' ');
  }

  @Override
  public byte[] footerBytes() {
    return NO_BYTES;
  }
}
