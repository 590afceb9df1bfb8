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
 * One request of a caller, from its last byte to its final answer: until its route is known here,
 * and from then on as a {@link RoutedExchange}.
 */
final class Exchange implements RequestHandler.Call {
  /** Stands for the usual latency while there is no configuration: a start takes about as long. */
  private static final double UNKNOWN_LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(160);

  private static final String NO_ROUTE = "-";

  /**
   * Within so long a change of the configuration is in force everywhere. Where it has not been
   * known to be the newest for longer, a route that is missing may have been added.
   */
  private static final long VOUCHED_MILLIS = 2_000;

  private final Environment environment;
  private final ServerFinder finder;
  private final PendingQueue<Placing> pending;
  private final CallerRequest request;
  private final Consumer<CallerResponse> answer;
  private final RequestReport report;
  private Optional<RoutedExchange> routed = Optional.empty();
  private boolean done;

  Exchange(
      Environment environment,
      ServerFinder finder,
      PendingQueue<Placing> pending,
      CallerRequest request,
      Consumer<CallerResponse> answer) {
    this.environment = environment;
    this.finder = finder;
    this.pending = pending;
    this.request = request;
    this.answer = answer;
    String requestId = request.headers().get(environment.names().requestId(), "");
    this.report = new RequestReport(environment, requestId);
  }

  /** Begins; the route is looked up once there is a configuration. */
  void start(Supplier<Optional<Route>> router) {
    new FirstConfiguration(environment, request.readNanos())
        .await(() -> !done, () -> begin(router.get()), this::refuseUnconfigured);
  }

  private void begin(Optional<Route> found) {
    if (found.isEmpty()) {
      refuseUnknown();
      return;
    }
    RoutedExchange begun =
        new RoutedExchange(environment, finder, pending, request, found.get(), report, answer);
    routed = Optional.of(begun);
    begun.start();
  }

  /** Callers do not come back after a 404, so it is said only while the configuration is fresh. */
  private void refuseUnknown() {
    long age = environment.routesFreshness().ageMillis(environment.clocks().nanos());
    if (age > VOUCHED_MILLIS) {
      refuse("stale_configuration");
    } else {
      finish(Answers.noRoute(), "no_route");
    }
  }

  private void refuseUnconfigured() {
    refuse("no_configuration");
  }

  /** The request has not run; another instance may know more, or this one soon. */
  private void refuse(String reason) {
    long retryAfter =
        RetryAfter.nanos(
            RetryAfter.Cause.BUSY,
            UNKNOWN_LATENCY_NANOS,
            environment.random(),
            environment.settings().mechanisms());
    report.refused("", reason, waitedNanos(), retryAfter);
    finish(Answers.notRun(reason, retryAfter), reason);
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

  /** Something new is known of requests under which servers end. */
  void crashesChanged() {
    routed.ifPresent(RoutedExchange::crashesChanged);
  }

  private void finish(CallerResponse result, String outcome) {
    done = true;
    reportEnd(outcome, result.status().code());
    answer.accept(result);
  }

  private void reportEnd(String outcome, int status) {
    report.end(NO_ROUTE, "", outcome, status, 0, List.of(), waitedNanos(), 0);
  }

  private long waitedNanos() {
    return environment.clocks().nanos() - request.readNanos();
  }
}
