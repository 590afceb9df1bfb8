package org.magnoliaswitch.front.request;

import java.util.OptionalLong;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.load.CallerRetry;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.Route;

/** How much time a request has, counted from its caller's first try. */
final class RequestTimes {
  private final Environment environment;
  private final Route route;
  private final long readNanos;
  private final long patienceNanos;
  private final OptionalLong spentNanos;
  private final boolean usedConnection;

  RequestTimes(Environment environment, Route route, CallerRequest request) {
    this.environment = environment;
    this.route = route;
    this.readNanos = request.readNanos();
    this.usedConnection = request.usedConnection();
    this.patienceNanos = CallerWait.nanos(route, request, environment.names());
    this.spentNanos =
        CallerWait.spentNanos(route, request, environment.names(), environment.routeState());
  }

  /** Time that the caller still waits. */
  long leftNanos() {
    return readNanos + patienceNanos - environment.clocks().nanos();
  }

  /** Time since the request was read. */
  long waitedNanos() {
    return environment.clocks().nanos() - readNanos;
  }

  /** Time that the caller waited for when the request was read. */
  long patienceNanos() {
    return patienceNanos;
  }

  /** When an answer loses most of its value. */
  long objectiveEndNanos() {
    return readNanos - spentNanos.orElse(0) + route.objectiveNanos();
  }

  /** Time until an answer loses most of its value; negative afterwards. */
  long objectiveLeftNanos() {
    return objectiveEndNanos() - environment.clocks().nanos();
  }

  /** Usual latency of such a request. */
  double usualNanos() {
    return environment.routeState().baseline(route).nanos();
  }

  /** What the caller can still do if the request is refused now. */
  CallerRetry fallback() {
    return CallerRetry.of(usedConnection, spentNanos, leftNanos(), usualNanos());
  }

  /** Whether the request can still be answered within its objective. */
  Timeliness timeliness() {
    return objectiveLeftNanos() < usualNanos() ? Timeliness.LATE : Timeliness.IN_TIME;
  }
}
