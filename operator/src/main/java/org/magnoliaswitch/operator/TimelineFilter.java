package org.magnoliaswitch.operator;

import java.util.Locale;
import org.magnoliaswitch.core.process.TimelineEvent;

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
  boolean selects(TimelineEvent event) {
    return matches(request, event.request())
        && matches(server, event.server())
        && matches(service, event.service())
        && matches(kind.toUpperCase(Locale.ROOT), event.kind().name())
        && event.time().millis() >= fromMillis
        && event.time().millis() <= toMillis;
  }

  private static boolean matches(String wanted, String found) {
    return wanted.isEmpty() || wanted.equals(found);
  }
}
