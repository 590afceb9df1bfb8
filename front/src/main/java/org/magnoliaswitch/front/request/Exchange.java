package org.magnoliaswitch.front.request;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.connection.RequestHandler;
import org.magnoliaswitch.front.load.PendingQueue;
import org.magnoliaswitch.front.load.RetryAfter;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.Route;

/**
 * One request of a caller, from its last byte to its final response. It is delegated to a {@link
 * RoutedExchange} once its route is known.
 */
final class Exchange implements RequestHandler.Call {
  /**
   * Stands in for the usual latency while there is no configuration, or while a stale one has no
   * route for the request: the start of an instance takes about as long.
   */
  private static final double UNKNOWN_LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(160);

  private static final String UNKNOWN_ROUTE = "-";

  /**
   * Time within which a change of the configuration is in force everywhere. If the configuration
   * has not been confirmed as the newest for longer, a missing route may have been added since.
   */
  private static final long MAX_CONFIGURATION_AGE_MILLIS = 2_000;

  private final Environment environment;
  private final ServerFinder finder;
  private final Authenticator authenticator;
  private final PendingQueue<RequestPlacement> pendingQueue;
  private final CallerRequest request;
  private final Consumer<CallerResponse> respond;
  private final RequestReport report;
  private Optional<RoutedExchange> routed = Optional.empty();
  private boolean done;

  Exchange(
      Environment environment,
      ServerFinder finder,
      Authenticator authenticator,
      PendingQueue<RequestPlacement> pendingQueue,
      CallerRequest request,
      Consumer<CallerResponse> respond) {
    this.environment = environment;
    this.finder = finder;
    this.authenticator = authenticator;
    this.pendingQueue = pendingQueue;
    this.request = request;
    this.respond = respond;
    String requestId = request.headers().get(environment.names().requestId(), "");
    this.report = new RequestReport(environment, requestId);
  }

  /**
   * Starts processing.
   *
   * @param router looks up the route; called once there is a configuration
   */
  void start(Supplier<Optional<Route>> router) {
    new FirstConfigurationWait(environment, request.readNanos())
        .await(() -> !done, () -> process(router.get()), this::refuseUnconfigured);
  }

  private void process(Optional<Route> route) {
    if (route.isEmpty()) {
      refuseUnrouted();
      return;
    }
    TeamAccess access = access(route.get());
    Optional<Denial> denial = access.check();
    report.team(access);
    if (denial.isPresent()) {
      refuse(denial.get());
      return;
    }
    RoutedExchange exchange =
        new RoutedExchange(
            environment, finder, pendingQueue, request, route.get(), access, report, respond);
    routed = Optional.of(exchange);
    exchange.start();
  }

  private TeamAccess access(Route route) {
    return environment.routes().get().teams().isEmpty()
        ? authenticator.openAccess()
        : new KeyedAccess(environment, authenticator, route, request.headers());
  }

  private void refuse(Denial denial) {
    long busyRetryAfter = busyRetryAfterNanos();
    long retryAfter =
        denial instanceof Denial.OverQuota over ? over.retryAfterNanos() : busyRetryAfter;
    report.requestRefused("", denial.reason(), waitedNanos(), retryAfter);
    String outcome = denial instanceof Denial.Unauthorized ? "unauthorized" : denial.reason();
    finish(CallerResponses.denied(denial, busyRetryAfter), outcome);
  }

  /**
   * Answers 404 only while the configuration is fresh, because callers do not retry after a 404.
   */
  private void refuseUnrouted() {
    long age = environment.routesFreshness().ageMillis(environment.clocks().nanos());
    if (age > MAX_CONFIGURATION_AGE_MILLIS) {
      refuse("stale_configuration");
    } else {
      finish(CallerResponses.noRoute(), "no_route");
    }
  }

  private void refuseUnconfigured() {
    refuse("no_configuration");
  }

  /**
   * Refuses the request as not executed: a retry may succeed at another instance, or here a little
   * later.
   */
  private void refuse(String reason) {
    long retryAfter = busyRetryAfterNanos();
    report.requestRefused("", reason, waitedNanos(), retryAfter);
    finish(CallerResponses.notExecuted(reason, retryAfter), reason);
  }

  private long busyRetryAfterNanos() {
    return RetryAfter.nanos(
        RetryAfter.Cause.BUSY,
        UNKNOWN_LATENCY_NANOS,
        environment.random(),
        environment.settings().mechanisms());
  }

  @Override
  public void callerDisconnected() {
    if (routed.isPresent()) {
      routed.get().callerDisconnected();
    } else if (!done) {
      done = true;
      reportEnd("caller_left", 0);
    }
  }

  /** Reacts to a change in what is known of requests that crash servers. */
  void crashesChanged() {
    routed.ifPresent(RoutedExchange::crashesChanged);
  }

  private void finish(CallerResponse result, String outcome) {
    done = true;
    reportEnd(outcome, result.status().code());
    respond.accept(result);
  }

  private void reportEnd(String outcome, int status) {
    report.requestEnded(UNKNOWN_ROUTE, "", outcome, status, 0, List.of(), waitedNanos(), 0);
  }

  private long waitedNanos() {
    return environment.clocks().nanos() - request.readNanos();
  }
}
