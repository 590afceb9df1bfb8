package org.magnoliaswitch.front.request;

import java.util.List;
import java.util.OptionalLong;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.load.CallerRetry;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.RetryAfter;
import org.magnoliaswitch.front.load.ServerSelection;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.Route;

/**
 * Computes the times of a request. The latency objective counts from when the caller first sent the
 * request; the caller's timeout and the wait count from when this instance has read it.
 */
final class RequestTimes {
  private final Environment environment;
  private final Route route;
  private final long readNanos;
  private final long callerTimeoutNanos;
  private final OptionalLong spentNanos;
  private final long earlierAttemptsNanos;
  private final boolean usedConnection;

  RequestTimes(Environment environment, Route route, CallerRequest request) {
    this.environment = environment;
    this.route = route;
    this.readNanos = request.readNanos();
    this.usedConnection = request.usedConnection();
    this.callerTimeoutNanos = CallerTimeout.timeoutNanos(route, request, environment.names());
    this.spentNanos =
        CallerTimeout.spentNanos(route, request, environment.names(), environment.routeState());
    this.earlierAttemptsNanos = firstAttempt() ? 0 : spentNanos.orElse(0);
  }

  private boolean firstAttempt() {
    if (!environment.settings().mechanisms().enabled(Mechanism.FIRST_ATTEMPTS) || !appliesHere()) {
      return false;
    }
    long longest = environment.routeState().longestWaitNanos(route, 0);
    return CallerRetry.firstAttempt(
        usedConnection, spentNanos.orElse(0), longest, route.objectiveNanos());
  }

  private boolean appliesHere() {
    return !environment.routes().get().teams().isEmpty() || fewSlots();
  }

  private boolean fewSlots() {
    List<ServerPool> servers = environment.servers().of(route.services().getFirst().service());
    return !servers.isEmpty()
        && ServerSelection.fewSlots(servers.getFirst().state().sample().slots());
  }

  /** Time for which the caller still waits. */
  long remainingNanos() {
    return readNanos + callerTimeoutNanos - environment.clocks().nanos();
  }

  /** Time since the request was read. */
  long waitedNanos() {
    return environment.clocks().nanos() - readNanos;
  }

  /** Time for which the caller was going to wait when the request was read. */
  long callerTimeoutNanos() {
    return callerTimeoutNanos;
  }

  /** When a response loses most of its value. */
  long objectiveEndNanos() {
    return readNanos - earlierAttemptsNanos + route.objectiveNanos();
  }

  /** Time until a response loses most of its value; negative afterwards. */
  long objectiveRemainingNanos() {
    return objectiveEndNanos() - environment.clocks().nanos();
  }

  /** Usual latency of requests of this route. */
  double usualLatencyNanos() {
    return environment.routeState().baseline(route).nanos();
  }

  /** Time after which the caller should retry if the request is refused now. */
  long retryAfterNanos(RetryAfter.Cause cause) {
    return RetryAfter.nanos(
        cause, usualLatencyNanos(), environment.random(), environment.settings().mechanisms());
  }

  /** Whether the caller can still be served by retrying if the request is refused now. */
  CallerRetry callerRetry() {
    return CallerRetry.of(usedConnection, spentNanos, remainingNanos(), usualLatencyNanos());
  }

  /** Whether the request can still be answered within its objective. */
  Timeliness timeliness() {
    return objectiveRemainingNanos() < usualLatencyNanos() ? Timeliness.LATE : Timeliness.IN_TIME;
  }
}
