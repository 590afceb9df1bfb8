package org.magnoliaswitch.operator;

import java.util.Locale;
import java.util.Map;
import org.magnoliaswitch.core.process.TimelineEvent;

/**
 * One event of a timeline, queried from an instance or parsed from its log.
 *
 * @param micros time in microseconds since the epoch, or since the start of the log collector
 * @param instance name of the process that recorded the event
 * @param event kind of the event
 * @param pairs further fields of the event
 * @param line the event as a line of text
 */
record TimelineEntry(
    long micros, String instance, String event, Map<String, String> pairs, String line) {
  private static final long MICROS_PER_MILLI = 1_000;

  TimelineEntry {
    pairs = Map.copyOf(pairs);
  }

  static TimelineEntry of(TimelineEvent event) {
    return new TimelineEntry(
        event.time().millis() * MICROS_PER_MILLI,
        event.instance(),
        event.kind().name().toLowerCase(Locale.ROOT),
        Map.of("request", event.request(), "server", event.server(), "service", event.service()),
        TimelineText.line(event));
  }

  long millis() {
    return Math.floorDiv(micros, MICROS_PER_MILLI);
  }

  /** Returns the value of a field, or an empty string if the event does not have it. */
  String value(String key) {
    return pairs.getOrDefault(key, "");
  }
}
