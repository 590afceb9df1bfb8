package org.magnoliaswitch.front.request;

import java.util.Optional;
import org.magnoliaswitch.core.process.RequestCrashes;
import org.magnoliaswitch.front.load.CallerRetry;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.SharedRetryBudget;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.Route;

/** How often one request was sent, and whether it may be sent once more. */
final class FurtherSends {
  private final Environment environment;
  private final Route route;
  private final String service;
  private final RequestTimes times;
  private final RequestReport report;
  private final RequestCrashes crashes;
  private int sends;

  FurtherSends(
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

  /** Notes that the request's first byte is about to be written. */
  void writing() {
    sends++;
  }

  /** Sends so far. */
  int count() {
    return sends;
  }

  /** Whether one may follow a send that a server has rejected; it is taken from the budget. */
  boolean mayFollowRejection() {
    boolean ordered = environment.settings().mechanisms().enabled(Mechanism.LAST_TRIES_FIRST);
    return mayFollow(ordered ? times.fallback() : CallerRetry.NONE);
  }

  /** Whether one may follow a send that brought no answer or a failure; taken from the budget. */
  boolean mayFollow() {
    return mayFollow(CallerRetry.NONE);
  }

  /** Whether one may go out beside a send that is late; taken from the budget. */
  boolean mayHedge() {
    if (!crashes.mayHedge()) {
      report.notRepeated(service, RoutedExchange.ENDS_SERVERS, times.leftNanos());
      return false;
    }
    return mayFollow();
  }

  private boolean mayFollow(CallerRetry fallback) {
    Optional<String> obstacle = obstacle(fallback);
    obstacle.ifPresent(reason -> report.notRepeated(service, reason, times.leftNanos()));
    return obstacle.isEmpty();
  }

  private Optional<String> obstacle(CallerRetry fallback) {
    if (sends >= route.maxServers()) {
      return Optional.of("most_servers");
    }
    if (!crashes.mayRepeat()) {
      return Optional.of(RoutedExchange.ENDS_SERVERS);
    }
    if (times.leftNanos() <= 0) {
      return Optional.of("no_time");
    }
    SharedRetryBudget budget = environment.routeState().budget(service);
    long now = environment.clocks().nanos();
    if (budget.trySpend(fallback, environment.instances().count(), now)) {
      return Optional.empty();
    }
    return Optional.of(fallback == CallerRetry.NONE ? "no_budget" : "caller_returns");
  }
}
