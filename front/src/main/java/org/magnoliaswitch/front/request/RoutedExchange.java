package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.magnoliaswitch.core.crash.Verdict;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.connection.ServerReply;
import org.magnoliaswitch.front.load.HedgeDelay;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.PendingQueue;
import org.magnoliaswitch.front.load.RetryAfter;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.process.LatencyBaseline;
import org.magnoliaswitch.front.version.Route;

/**
 * One request of a caller whose route is known, until its final response.
 *
 * <p>A further attempt of a non-idempotent request is made only if the first server stated that it
 * did not execute the request, or if nothing of it was written. After any other failure the request
 * may have been executed, and the response says so: 502 or 504, never 503.
 */
final class RoutedExchange implements RequestPlacement.Owner {
  /**
   * Number of attempts that failed before a byte was written, from which the request is refused.
   */
  private static final int MAX_UNREACHABLE = 3;

  /** Reason for denying attempts of a request that crashes servers. */
  static final String CRASHES_SERVERS = "ends_servers";

  private final Environment environment;
  private final CallerRequest request;
  private final Route route;
  private final TeamAccess access;
  private final Consumer<CallerResponse> respond;
  private final RequestReport report;
  private final CrashDetector crashDetector;
  private final RequestTimes times;
  private final String service;
  private final FurtherAttempts attempts;
  private final RequestPlacement placement;
  private final Optional<HedgeSearch> hedgeSearch;
  private final Loop.Timer timer;
  private final List<Loop.Timer> overdueTimers = new ArrayList<>(1);
  private final ExecutionState executionState;
  private int unreachableAttempts;
  private boolean done;

  RoutedExchange(
      Environment environment,
      ServerFinder finder,
      PendingQueue<RequestPlacement> pendingQueue,
      CallerRequest request,
      Route route,
      TeamAccess access,
      RequestReport report,
      Consumer<CallerResponse> respond) {
    this.environment = environment;
    this.request = request;
    this.route = route;
    this.access = access;
    this.executionState = new ExecutionState(route.idempotent());
    this.respond = respond;
    this.report = report;
    this.crashDetector = new CrashDetector(environment, request);
    this.times = new RequestTimes(environment, route, request);
    this.service = environment.routeState().pick(route);
    this.attempts =
        new FurtherAttempts(environment, route, service, times, report, crashDetector.crashes());
    this.placement =
        new RequestPlacement(
            environment.loop(),
            finder,
            pendingQueue,
            environment.settings().mechanisms(),
            new RequestPlacement.Request(route, service, times, access, report),
            this);
    this.hedgeSearch = hedgeSearch();
    this.timer = environment.loop().after(times.remainingNanos(), this::timedOut);
  }

  private Optional<HedgeSearch> hedgeSearch() {
    boolean allowed = environment.settings().mechanisms().enabled(Mechanism.HEDGING);
    return allowed && route.idempotent()
        ? Optional.of(new HedgeSearch(this, environment.loop(), placement, times))
        : Optional.empty();
  }

  /** Starts the search for a server. */
  void start() {
    environment.routeState().budget(service).recordRequest(environment.clocks().nanos());
    placement.place();
  }

  /** Called when the caller has left, so that nobody waits for the response any more. */
  void callerDisconnected() {
    if (done) {
      return;
    }
    done = true;
    placement.stop();
    cancelTimers();
    // Cancelled only if idempotent, since a partial execution of other requests may do harm.
    if (route.idempotent()) {
      executionState.cancelAll();
    } else {
      executionState.open().forEach(Attempt::callerLeft);
    }
    reportEnd("caller_left", 0);
    access.giveBack();
  }

  @Override
  public void startAttempt(ServerState server) {
    ServerPool pool = environment.servers().poolOf(server);
    Attempt attempt = new Attempt(this, environment, pool, request, report.requestId());
    executionState.attemptStarted(attempt);
    attempt.start(route.idempotent());
    double usualLatencyNanos = times.usualLatencyNanos();
    long delay = HedgeDelay.nanos(usualLatencyNanos, times.objectiveRemainingNanos());
    overdueTimers.add(environment.loop().after(delay, () -> overdue(attempt, usualLatencyNanos)));
  }

  /**
   * Handles a response that is late: records it for the server, and starts the search for a second
   * server if the request is idempotent.
   */
  private void overdue(Attempt attempt, double usualLatencyNanos) {
    if (done || !executionState.open().contains(attempt) || !attempt.written()) {
      return;
    }
    attempt.markOverdue(usualLatencyNanos);
    report.attemptOverdue(service, attempt.serverId(), usualLatencyNanos);
    hedgeSearch.ifPresent(search -> search.search(attempt));
  }

  /** Whether the attempt is the only open one, so that nothing else can bring a response. */
  boolean waitsOnlyFor(Attempt attempt) {
    return !done && executionState.onlyOpen(attempt);
  }

  /** Time for which the caller still waits. */
  long remainingNanos() {
    return times.remainingNanos();
  }

  /** Whether the caller still waits for a response. */
  boolean awaitsResponse() {
    return !done;
  }

  @Override
  public boolean awaitsServer() {
    return !done && executionState.awaitsServer();
  }

  @Override
  public boolean mayBeSent() {
    return !done && executionState.mayBeSent();
  }

  /** Detects servers that crash while serving the request. */
  CrashDetector crashDetector() {
    return crashDetector;
  }

  /** Returns the right of the request to be sent. */
  TeamAccess access() {
    return access;
  }

  /** Handles an attempt that was not written because the request may not be sent any more. */
  void denied(Attempt attempt, Denial denial) {
    executionState.notExecuted(attempt);
    if (doneOrOthersOpen()) {
      return;
    }
    conclude(
        denial.reason(),
        () -> CallerResponses.denied(denial, times.retryAfterNanos(RetryAfter.Cause.BUSY)));
  }

  /**
   * Handles an attempt that was not written: its server may not receive a request now, or the
   * verdict on the request forbids or delays it.
   */
  void notAdmitted(Attempt attempt) {
    executionState.notExecuted(attempt);
    report.attemptNotAdmitted(service, attempt.serverId());
    if (!doneOrOthersOpen()) {
      placement.place();
    }
  }

  /**
   * Reacts to a change in what is known of requests that crash servers. If this is one of them, its
   * attempts are cancelled: a server drops work whose connection closes, and so does not crash.
   * Non-idempotent requests may complete, since a partial execution may do harm.
   */
  void crashesChanged() {
    boolean trial = executionState.open().stream().anyMatch(Attempt::trial);
    if (done || !crashDetector.crashes().mustCancelAttempts(trial)) {
      return;
    }
    if (!executionState.attemptOpen()) {
      if (crashDetector.crashes().verdict() == Verdict.REFUSED) {
        refuseCrashing();
      }
    } else if (route.idempotent()) {
      executionState.cancelAll();
      refuseCrashing();
    }
  }

  @Override
  public Verdict verdict() {
    return crashDetector.crashes().verdict();
  }

  /**
   * Refuses the request because it crashes servers; without delay, since waiting would not help.
   */
  @Override
  public void refuseCrashing() {
    giveUp(CRASHES_SERVERS, crashDetector.crashes()::retryAfterNanos);
  }

  void unreachable(Attempt attempt, String reason) {
    executionState.notExecuted(attempt);
    unreachableAttempts++;
    report.attemptFailed("unreachable", service, attempt.serverId(), "reason", reason);
    if (doneOrOthersOpen()) {
      return;
    }
    if (unreachableAttempts >= MAX_UNREACHABLE) {
      giveUp("unreachable", RetryAfter.Cause.REJECTED);
    } else {
      placement.place();
    }
  }

  void rejected(Attempt attempt, int status) {
    executionState.notExecuted(attempt);
    report.attemptFailed("rejected", service, attempt.serverId(), "status", String.valueOf(status));
    if (doneOrOthersOpen()) {
      return;
    }
    if (attempts.tryRetryAfterRejection()) {
      placement.place();
    } else {
      giveUp("rejected", RetryAfter.Cause.REJECTED);
    }
  }

  void broken(Attempt attempt, String reason) {
    executionState.broken(attempt);
    report.attemptBroken(
        service, attempt.serverId(), reason, crashDetector.crashes().identities().content());
    if (doneOrOthersOpen()) {
      return;
    }
    if (route.idempotent() && attempts.tryRetry()) {
      placement.place();
    } else {
      giveUp("broken", RetryAfter.Cause.REJECTED);
    }
  }

  void answered(Attempt attempt, ServerReply.Complete serverResponse) {
    executionState.answered(attempt);
    if (done) {
      return;
    }
    boolean failed =
        serverResponse.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
    CallerResponse result = CallerResponses.forwarded(serverResponse);
    if (failed) {
      executionState.serverFailed(result);
    }
    if (failed && executionState.attemptOpen()) {
      return;
    }
    executionState.open().forEach(Attempt::superseded);
    if (failed && route.idempotent() && remainingNanos() > 0 && attempts.tryRetry()) {
      placement.place();
      return;
    }
    finish(result, failed ? RequestReport.SERVER_FAILED : RequestReport.ANSWERED);
  }

  /**
   * Records the latency of a response, compared with what was expected of the server, and offers
   * the capacity that the server has free now to the first queued request.
   *
   * @param slowness slowness of the server when the request was sent; with its slowness at the time
   *     of the response, the usual latency would be estimated too short
   */
  void recordLatency(long tookNanos, double slowness, ServerState server) {
    LatencyBaseline baseline = environment.routeState().baseline(route);
    placement.offerCapacity(server);
    environment.metrics().latency(service, tookNanos);
    environment.servers().recordSuccess(server, tookNanos / (baseline.nanos() * slowness));
    baseline.update(tookNanos / slowness);
  }

  /** Whether the end of an attempt has no effect, since the request is done or at a server. */
  private boolean doneOrOthersOpen() {
    return done || executionState.attemptOpen();
  }

  /** Counts the attempts of the request, and decides whether a further one is allowed. */
  FurtherAttempts attempts() {
    return attempts;
  }

  @Override
  public void giveUp(String reason, RetryAfter.Cause cause) {
    giveUp(reason, () -> times.retryAfterNanos(cause));
  }

  private void giveUp(String reason, LongSupplier retryAfterNanos) {
    conclude(reason, () -> refusal(reason, retryAfterNanos.getAsLong()));
  }

  /**
   * Ends the request without a successful response.
   *
   * @param notExecuted creates the response if it was not executed
   */
  private void conclude(String reason, Supplier<CallerResponse> notExecuted) {
    executionState
        .finalResponse(HttpResponseStatus.BAD_GATEWAY, reason)
        .ifPresentOrElse(
            finalResponse -> finish(finalResponse.response(), finalResponse.outcome()),
            () -> finish(notExecuted.get(), reason));
  }

  private CallerResponse refusal(String reason, long retryAfterNanos) {
    long waitedNanos = environment.clocks().nanos() - request.readNanos();
    report.requestRefused(service, reason, waitedNanos, retryAfterNanos);
    return CallerResponses.notExecuted(reason, retryAfterNanos);
  }

  private void timedOut() {
    if (done) {
      return;
    }
    List<Attempt> cancelled = executionState.open();
    Optional<ExecutionState.FinalResponse> executed =
        executionState.finalResponse(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout");
    if (executed.isPresent()) {
      finish(executed.get().response(), executed.get().outcome());
    } else {
      String reason = "timeout_before_send";
      finish(refusal(reason, times.retryAfterNanos(RetryAfter.Cause.BUSY)), reason);
    }
    cancelled.forEach(attempt -> attempt.callerTimedOut(route.idempotent()));
  }

  private void finish(CallerResponse result, String outcome) {
    if (done) {
      return;
    }
    done = true;
    placement.stop();
    cancelTimers();
    reportEnd(outcome, result.status().code());
    access.giveBack();
    respond.accept(result);
  }

  /** Cancels what would wake the loop again for a request that is done. */
  private void cancelTimers() {
    timer.cancel();
    overdueTimers.forEach(Loop.Timer::cancel);
  }

  private void reportEnd(String outcome, int status) {
    long tookNanos = environment.clocks().nanos() - request.readNanos();
    report.requestEnded(
        route.name(),
        service,
        outcome,
        status,
        attempts.count(),
        placement.attemptedServerIds(),
        tookNanos,
        times.objectiveRemainingNanos());
  }
}
