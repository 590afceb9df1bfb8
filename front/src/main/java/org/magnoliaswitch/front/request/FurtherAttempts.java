package org.magnoliaswitch.front.request;

import java.util.Optional;
import org.magnoliaswitch.core.process.RequestCrashes;
import org.magnoliaswitch.front.load.CallerRetry;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.SharedRetryBudget;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.Route;

/** Counts the attempts of one request, and decides whether a further attempt is allowed. */
final class FurtherAttempts {
  private final Environment environment;
  private final Route route;
  private final String service;
  private final RequestTimes times;
  private final RequestReport report;
  private final RequestCrashes crashes;
  private int attempts;

  FurtherAttempts(
      Environment environment,
      Route route,
      String service,
      RequestTimes times,
      RequestReport report,
      RequestCrashes crashes) {
    this.environment = environment;
    this.route = route;
    this.service = service;
    this.times = times;
    this.report = report;
    this.crashes = crashes;
  }

  /** Counts an attempt; called right before its first byte is written. */
  void attemptStarted() {
    attempts++;
  }

  /** Number of attempts so far. */
  int count() {
    return attempts;
  }

  /**
   * Returns whether a further attempt is allowed after a server rejected the request, and charges
   * an allowed attempt to the retry budget.
   */
  boolean tryRetryAfterRejection() {
    boolean prioritized = environment.settings().mechanisms().enabled(Mechanism.LAST_TRIES_FIRST);
    return tryRetry(prioritized ? times.callerRetry() : CallerRetry.NONE);
  }

  /**
   * Returns whether a further attempt is allowed after one that brought no response or a failure,
   * and charges an allowed attempt to the retry budget.
   */
  boolean tryRetry() {
    return tryRetry(CallerRetry.NONE);
  }

  /**
   * Returns whether a further attempt is allowed beside one whose answer is overdue, and charges an
   * allowed attempt to the retry budget.
   */
  boolean tryHedge() {
    if (!crashes.mayHedge()) {
      report.furtherAttemptDenied(service, RoutedExchange.CRASHES_SERVERS, times.remainingNanos());
      return false;
    }
    return tryRetry();
  }

  private boolean tryRetry(CallerRetry callerRetry) {
    Optional<String> denialReason = chargeOrDeny(callerRetry);
    denialReason.ifPresent(
        reason -> report.furtherAttemptDenied(service, reason, times.remainingNanos()));
    return denialReason.isEmpty();
  }

  /**
   * Charges a further attempt to the retry budget; returns the reason for the denial if the attempt
   * is not allowed.
   */
  private Optional<String> chargeOrDeny(CallerRetry callerRetry) {
    if (attempts >= route.maxServers()) {
      return Optional.of("most_servers");
    }
    if (!crashes.mayRetry()) {
      return Optional.of(RoutedExchange.CRASHES_SERVERS);
    }
    if (times.remainingNanos() <= 0) {
      return Optional.of("no_time");
    }
    SharedRetryBudget budget = environment.routeState().budget(service);
    long now = environment.clocks().nanos();
    if (budget.trySpend(callerRetry, environment.instances().count(), now)) {
      return Optional.empty();
    }
    return Optional.of(callerRetry == CallerRetry.NONE ? "no_budget" : "caller_returns");
  }
}
