package org.magnoliaswitch.front.request;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.process.RouteState;
import org.magnoliaswitch.front.version.HeaderNames;
import org.magnoliaswitch.front.version.Route;

/** How long a caller waits for its answer, and has waited before. */
final class CallerWait {
  private CallerWait() {}

  /** The shorter of the route's timeout and what the caller says. */
  static long nanos(Route route, CallerRequest request, HeaderNames names) {
    return Math.min(route.timeoutNanos(), told(request, names).orElse(route.timeoutNanos()));
  }

  /** Time that the caller has spent on earlier tries, as its deadline shows, if it tells one. */
  static OptionalLong spentNanos(
      Route route, CallerRequest request, HeaderNames names, RouteState state) {
    OptionalLong told = told(request, names);
    if (told.isEmpty()) {
      return told;
    }
    return OptionalLong.of(state.longestWaitNanos(route, told.getAsLong()) - told.getAsLong());
  }

  /** What the caller says; unreadable text says nothing. */
  private static OptionalLong told(CallerRequest request, HeaderNames names) {
    String value = request.headers().get(names.deadlineMillis());
    if (value == null) {
      return OptionalLong.empty();
    }
    try {
      long millis = Math.max(0, Long.parseLong(value.strip()));
      return OptionalLong.of(TimeUnit.MILLISECONDS.toNanos(millis));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
