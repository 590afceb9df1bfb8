package org.magnoliaswitch.operator;

import java.util.Locale;

/**
 * Which events to show; empty texts select all.
 *
 * @param request request id
 * @param server backend server id
 * @param service service name
 * @param kind event kind
 * @param fromMillis earliest time
 * @param toMillis latest time
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

  private static boolean matches(String wanted, String found) {
    return wanted.isEmpty() || wanted.equals(found);
  }
}
