package org.magnoliaswitch.operator;

import java.util.Locale;

/**
 * Criteria that an event must match to be shown. An empty string matches all events.
 *
 * @param request request id
 * @param server id of a backend server
 * @param service name of a service
 * @param kind kind of event, in any case
 * @param fromMillis earliest time, inclusive
 * @param toMillis latest time, inclusive
 */
record TimelineFilter(
    String request, String server, String service, String kind, long fromMillis, long toMillis) {
  boolean selects(TimelineEntry entry) {
    return matches(request, entry.value("request"))
        && (matches(server, entry.value("server")) || entry.value("servers").contains(server))
        && matches(service, entry.value("service"))
        && matches(kind.toLowerCase(Locale.ROOT), entry.event())
        && entry.millis() >= fromMillis
        && entry.millis() <= toMillis;
  }

  private static boolean matches(String expected, String actual) {
    return expected.isEmpty() || expected.equals(actual);
  }
}
