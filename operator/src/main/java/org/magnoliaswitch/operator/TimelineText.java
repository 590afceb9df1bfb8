package org.magnoliaswitch.operator;

import java.time.Instant;
import java.util.Locale;
import org.magnoliaswitch.core.process.TimelineEvent;

/** Formats an event as one line of key=value pairs. */
final class TimelineText {
  private TimelineText() {}

  static String line(TimelineEvent event) {
    StringBuilder line = new StringBuilder();
    line.append("time=")
        .append(Instant.ofEpochMilli(event.time().millis()))
        .append('/')
        .append(event.time().counter())
        .append(" instance=")
        .append(event.instance())
        .append(" event=")
        .append(event.kind().name().toLowerCase(Locale.ROOT));
    append(line, "request", event.request());
    append(line, "service", event.service());
    append(line, "server", event.server());
    if (!event.detail().isEmpty()) {
      line.append(' ').append(event.detail());
    }
    return line.toString();
  }

  private static void append(StringBuilder line, String name, String value) {
    if (!value.isEmpty()) {
      line.append(' ').append(name).append('=').append(value);
    }
  }
}
