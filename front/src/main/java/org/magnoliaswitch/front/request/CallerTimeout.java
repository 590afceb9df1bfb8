package org.magnoliaswitch.front.request;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.process.RouteState;
import org.magnoliaswitch.front.version.HeaderNames;
import org.magnoliaswitch.front.version.Route;

/** Determines how long a caller waits for its response, and how long it has waited before. */
final class CallerTimeout {
  private CallerTimeout() {}

  /** The shorter of the timeout of the route and the one that the caller states. */
  static long timeoutNanos(Route route, CallerRequest request, HeaderNames names) {
    return Math.min(route.timeoutNanos(), stated(request, names).orElse(route.timeoutNanos()));
  }

  /**
   * Time that the caller has spent before this request if the request is a retry, derived from the
   * deadline that it states; empty if it states none.
   */
  static OptionalLong spentNanos(
      Route route, CallerRequest request, HeaderNames names, RouteState state) {
    OptionalLong stated = stated(request, names);
    if (stated.isEmpty()) {
      return stated;
    }
    long longest = state.longestWaitNanos(route, stated.getAsLong());
    return OptionalLong.of(Math.max(0, longest - stated.getAsLong()));
  }

  /** The timeout that the caller states; empty if there is none or if it is not a number. */
  private static OptionalLong stated(CallerRequest request, HeaderNames names) {
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
