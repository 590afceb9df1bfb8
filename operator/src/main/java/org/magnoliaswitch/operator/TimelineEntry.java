package org.magnoliaswitch.operator;

import java.util.Locale;
import java.util.Map;
import org.magnoliaswitch.core.process.TimelineEvent;

/**
 * One event of a time line, from an instance's memory or from its log.
 *
 * @param micros when it happened, in microseconds since the epoch or since a collector's start
 * @param instance process that told it
 * @param event what happened
 * @param pairs further keys and values
 * @param line the event as text
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

  /** The value of a key, or an empty text. */
  String value(String key) {
    return pairs.getOrDefault(key, "");
  }
}
