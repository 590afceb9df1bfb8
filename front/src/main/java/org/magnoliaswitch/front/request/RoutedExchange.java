package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
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
 * One request of a caller whose route is known, until its final answer.
 *
 * <p>A request that may run only once is sent a second time only when the first server said that it
 * has not run it, or when nothing of it was written. After any other trouble its outcome is
 * unknown, and the answer says so: 502 or 504, never 503.
 */
final class RoutedExchange implements Placing.Owner {
  /** Servers tried in vain, without a byte written, before the request is refused. */
  private static final int MAX_UNREACHABLE = 3;

  /** Why a request under which servers end gets no send. */
  static final String ENDS_SERVERS = "ends_servers";

  private final Environment environment;
  private final CallerRequest request;
  private final Route route;
  private final Consumer<CallerResponse> answer;
  private final RequestReport report;
  private final CrashGuard guard;
  private final RequestTimes times;
  private final String service;
  private final FurtherSends sends;
  private final Placing placing;
  private final Optional<Hedge> hedge;
  private final Loop.Timer timer;
  private final List<Attempt> open = new ArrayList<>();
  private final RequestFate fate = new RequestFate();
  private int unreachable;
  private boolean done;

  RoutedExchange(
      Environment environment,
      ServerFinder finder,
      PendingQueue<Placing> pending,
      CallerRequest request,
      Route route,
      RequestReport report,
      Consumer<CallerResponse> answer) {
    this.environment = environment;
    this.request = request;
    this.route = route;
    this.answer = answer;
    this.report = report;
    this.guard = new CrashGuard(environment, request);
    this.times = new RequestTimes(environment, route, request);
    this.service = environment.routeState().pick(route);
    this.sends = new FurtherSends(environment, route, service, times, report, guard.crashes());
    this.placing =
        new Placing(
            environment.loop(),
            finder,
            pending,
            environment.settings().mechanisms(),
            route,
            service,
            times,
            report,
            this);
    this.hedge = hedge();
    this.timer = environment.loop().after(times.leftNanos(), this::timedOut);
  }

  private Optional<Hedge> hedge() {
    boolean allowed = environment.settings().mechanisms().enabled(Mechanism.HEDGING);
    return allowed && route.idempotent()
        ? Optional.of(new Hedge(this, environment.loop(), placing, times))
        : Optional.empty();
  }

  /** Looks for a server. */
  void start() {
    environment.routeState().budget(service).recordRequest(environment.clocks().nanos());
    placing.place();
  }

  /** Nobody waits for the answer any more. */
  void callerDisconnected() {
    if (done) {
      return;
    }
    done = true;
    placing.leaveQueue();
    timer.cancel();
    // Work nobody waits for is cancelled only where a half-done run does no harm.
    if (route.idempotent()) {
      open.forEach(Attempt::abandon);
    }
    reportEnd("caller_left", 0);
  }

  @Override
  public void send(ServerState server) {
    ServerPool pool = environment.servers().poolOf(server);
    Attempt attempt = new Attempt(this, environment, pool, request, report.requestId());
    open.add(attempt);
    attempt.start(route.idempotent());
    double usual = times.usualNanos();
    long delay = HedgeDelay.nanos(usual, times.objectiveLeftNanos());
    environment.loop().after(delay, () -> overdue(attempt, usual));
  }

  /** An answer is late: the server is marked, and an idempotent request tries a second one. */
  private void overdue(Attempt attempt, double usual) {
    if (done || !open.contains(attempt) || !attempt.written()) {
      return;
    }
    attempt.overdue(usual);
    report.overdue(service, attempt.serverId(), usual);
    hedge.ifPresent(present -> present.seek(attempt));
  }

  /** Whether one send is under way and nothing else can bring an answer. */
  boolean waitsOnlyFor(Attempt attempt) {
    return !done && open.size() == 1 && open.contains(attempt);
  }

  /** Time that the caller still waits. */
  long leftNanos() {
    return times.leftNanos();
  }

  @Override
  public boolean waiting() {
    return !done;
  }

  /** What is known of servers that ended under the request. */
  CrashGuard guard() {
    return guard;
  }

  /**
   * The request was to be written when it became known that servers end under it, or that its
   * server bears no more while it is cold.
   */
  void heldBack(Attempt attempt) {
    open.remove(attempt);
    if (!othersOpen()) {
      placing.place();
    }
  }

  /**
   * Something new is known of requests under which servers end. If this is one of them, its sends
   * are cancelled: a server drops work whose connection closes, and so is spared. What may run only
   * once is left to end, since half of a run may do harm.
   */
  void crashesChanged() {
    boolean trial = open.stream().anyMatch(Attempt::warned);
    if (done || !guard.crashes().stopsSends(trial)) {
      return;
    }
    if (open.isEmpty()) {
      if (guard.crashes().verdict() == Verdict.REFUSED) {
        turnAway();
      }
    } else if (route.idempotent()) {
      if (open.stream().anyMatch(Attempt::written)) {
        fate.perhapsRun();
      }
      open.forEach(Attempt::abandon);
      open.clear();
      turnAway();
    }
  }

  @Override
  public Verdict verdict() {
    return guard.crashes().verdict();
  }

  /** Servers end under the request, so it goes to none; at once, since waiting would not help. */
  @Override
  public void turnAway() {
    giveUp(ENDS_SERVERS, guard.crashes()::retryAfterNanos);
  }

  void unreachable(Attempt attempt, String reason) {
    open.remove(attempt);
    unreachable++;
    report.attempt("unreachable", service, attempt.serverId(), "reason", reason);
    if (othersOpen()) {
      return;
    }
    if (unreachable >= MAX_UNREACHABLE) {
      giveUp("unreachable", RetryAfter.Cause.REJECTED);
    } else {
      placing.place();
    }
  }

  void rejected(Attempt attempt, int status) {
    open.remove(attempt);
    report.attempt("rejected", service, attempt.serverId(), "status", String.valueOf(status));
    if (othersOpen()) {
      return;
    }
    if (sends.mayFollowRejection()) {
      placing.place();
    } else {
      giveUp("rejected", RetryAfter.Cause.REJECTED);
    }
  }

  void broken(Attempt attempt, String reason) {
    open.remove(attempt);
    fate.perhapsRun();
    report.broken(service, attempt.serverId(), reason, guard.crashes().identities().content());
    if (othersOpen()) {
      return;
    }
    if (route.idempotent() && sends.mayFollow()) {
      placing.place();
    } else {
      giveUp("broken", RetryAfter.Cause.REJECTED);
    }
  }

  void answered(Attempt attempt, ServerReply.Complete whole) {
    open.remove(attempt);
    if (done) {
      return;
    }
    boolean failed = whole.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
    CallerResponse result = Answers.passedOn(whole);
    if (failed) {
      fate.serverFailed(result);
    }
    if (failed && !open.isEmpty()) {
      return;
    }
    open.forEach(Attempt::outrun);
    if (failed && route.idempotent() && leftNanos() > 0 && sends.mayFollow()) {
      placing.place();
      return;
    }
    finish(result, failed ? RequestReport.SERVER_FAILED : RequestReport.ANSWERED);
  }

  /**
   * Compares a whole answer's latency with what was expected of the server.
   *
   * @param slowness how slow the server was when the request was sent; how slow it is when the
   *     answer leaves says nothing, and taken for it the usual latency would come out too short
   */
  void learnLatency(long tookNanos, double slowness, ServerState server) {
    LatencyBaseline baseline = environment.routeState().baseline(route);
    placing.offerRoom(server);
    environment.metrics().latency(service, tookNanos);
    environment.servers().recordSuccess(server, tookNanos / (baseline.nanos() * slowness));
    baseline.update(tookNanos / slowness);
  }

  /** Whether the end of an attempt changes nothing: the caller is served, or another may answer. */
  private boolean othersOpen() {
    return done || !open.isEmpty();
  }

  /** How often the request was sent, and whether it may be sent again. */
  FurtherSends sends() {
    return sends;
  }

  @Override
  public void giveUp(String reason, RetryAfter.Cause cause) {
    giveUp(reason, () -> retryAfterNanos(cause));
  }

  private void giveUp(String reason, LongSupplier retryAfterNanos) {
    fate.end(HttpResponseStatus.BAD_GATEWAY, reason, false)
        .ifPresentOrElse(
            end -> finish(end.answer(), end.outcome()),
            () -> refuse(reason, retryAfterNanos.getAsLong()));
  }

  private void refuse(String reason, long retryAfter) {
    long waited = environment.clocks().nanos() - request.readNanos();
    report.refused(service, reason, waited, retryAfter);
    finish(Answers.notRun(reason, retryAfter), reason);
  }

  private long retryAfterNanos(RetryAfter.Cause cause) {
    return RetryAfter.nanos(
        cause, times.usualNanos(), environment.random(), environment.settings().mechanisms());
  }

  private void timedOut() {
    if (done) {
      return;
    }
    boolean written = open.stream().anyMatch(Attempt::written);
    List<Attempt> cancelled = List.copyOf(open);
    fate.end(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout", written)
        .ifPresentOrElse(
            end -> finish(end.answer(), end.outcome()),
            () -> refuse("timeout_before_send", retryAfterNanos(RetryAfter.Cause.BUSY)));
    cancelled.forEach(attempt -> attempt.timedOut(route.idempotent()));
  }

  private void finish(CallerResponse result, String outcome) {
    if (done) {
      return;
    }
    done = true;
    placing.leaveQueue();
    timer.cancel();
    reportEnd(outcome, result.status().code());
    answer.accept(result);
  }

  private void reportEnd(String outcome, int status) {
    long took = environment.clocks().nanos() - request.readNanos();
    report.end(
        route.name(),
        service,
        outcome,
        status,
        sends.count(),
        placing.tried(),
        took,
        times.objectiveLeftNanos());
  }
}
