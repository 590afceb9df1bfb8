package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.connection.CallerAnswer;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.RequestHandler;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.connection.ServerReply;
import org.magnoliaswitch.front.load.HedgeDelay;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.RetryAfter;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.WaitingLine;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.process.LatencyBaseline;
import org.magnoliaswitch.front.version.Route;

/**
 * One request of a caller, from its last byte to its final answer.
 *
 * <p>A request that may run only once is sent a second time only when the first server said that it
 * has not run it, or when nothing of it was written. After any other trouble its outcome is
 * unknown, and the answer says so: 502 or 504, never 503.
 */
final class Exchange implements RequestHandler.Call, Placing.Owner {
  /** Time between two looks for a configuration. */
  private static final long LOOK_AGAIN_MILLIS = 10;

  /**
   * How long a request waits for the first configuration. After a loss of all instances everyone's
   * callers return at once; a started instance knows its servers 0.2 s after it listens, and a
   * refusal would cost each of them a try.
   */
  private static final long CONFIGURATION_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Stands for the usual latency while there is no configuration: a start takes about as long. */
  private static final double UNKNOWN_LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(160);

  /** Servers tried in vain, without a byte written, before the request is refused. */
  private static final int MAX_UNREACHABLE = 3;

  private static final String SERVER_FAILED = "server_failed";

  private final Environment environment;
  private final ServerFinder finder;
  private final WaitingLine<Placing> line;
  private final CallerRequest request;
  private final Consumer<CallerAnswer> answer;
  private final String requestId;
  private final RequestReport report;
  private final List<Attempt> open = new ArrayList<>();
  private @Nullable Route route;
  private @Nullable RequestTimes times;
  private @Nullable Placing placing;
  private String service = "";
  private Loop.@Nullable Timer timer;
  private @Nullable FurtherSends sends;
  private int unreachable;
  private boolean perhapsRun;
  private @Nullable Hedge hedge;
  private @Nullable CallerAnswer serverFailure;
  private boolean done;

  Exchange(
      Environment environment,
      ServerFinder finder,
      WaitingLine<Placing> line,
      CallerRequest request,
      Consumer<CallerAnswer> answer) {
    this.environment = environment;
    this.finder = finder;
    this.line = line;
    this.request = request;
    this.answer = answer;
    this.requestId = request.headers().get(environment.names().requestId(), "");
    this.report = new RequestReport(environment, requestId);
  }

  /** Begins; the route is looked up once there is a configuration. */
  void start(Supplier<Optional<Route>> router) {
    if (done) {
      return;
    }
    if (environment.routes().get().known() && environment.servers().known()) {
      begin(router.get());
    } else if (environment.clocks().nanos() - request.readNanos() < configurationWaitNanos()) {
      environment.loop().afterMillis(LOOK_AGAIN_MILLIS, () -> start(router));
    } else {
      refuse("no_configuration", RetryAfter.Cause.BUSY);
    }
  }

  private long configurationWaitNanos() {
    return on(Mechanism.FIRST_CONFIGURATION) ? CONFIGURATION_WAIT_NANOS : 0;
  }

  private boolean on(Mechanism mechanism) {
    return environment.settings().mechanisms().on(mechanism);
  }

  private void begin(Optional<Route> found) {
    if (found.isEmpty()) {
      finish(Answers.noRoute(), "no_route");
      return;
    }
    Route chosen = found.get();
    RequestTimes left = new RequestTimes(environment, chosen, request);
    route = chosen;
    times = left;
    timer = environment.loop().after(left.leftNanos(), this::timedOut);
    service = environment.routeState().pick(chosen);
    environment.routeState().budget(service).request(environment.clocks().nanos());
    sends = new FurtherSends(environment, chosen, service, left, report);
    Placing places =
        new Placing(
            environment.loop(),
            finder,
            line,
            environment.settings().mechanisms(),
            chosen,
            service,
            left,
            report,
            this);
    placing = places;
    boolean hedged = chosen.idempotent() && on(Mechanism.HEDGING);
    hedge = hedged ? new Hedge(this, environment.loop(), places, left) : null;
    places.place();
  }

  @Override
  public void callerLeft() {
    if (done) {
      return;
    }
    done = true;
    leaveLine();
    cancelTimer();
    // Work nobody waits for is cancelled only where a half-done run does no harm.
    if (route == null || route.idempotent()) {
      open.forEach(Attempt::abandon);
    }
    reportEnd("caller_left", 0);
  }

  @Override
  public void send(ServerState server) {
    ServerPool pool = environment.servers().poolOf(server);
    Attempt attempt = new Attempt(this, environment, pool, request, requestId);
    open.add(attempt);
    attempt.start(requireRoute().idempotent());
    double usual = requireTimes().usualNanos();
    long delay = HedgeDelay.nanos(usual, requireTimes().objectiveLeftNanos());
    environment.loop().after(delay, () -> overdue(attempt, usual));
  }

  /** An answer is late: the server is marked, and an idempotent request tries a second one. */
  private void overdue(Attempt attempt, double usual) {
    if (done || !open.contains(attempt) || !attempt.written()) {
      return;
    }
    attempt.overdue(usual);
    report.overdue(service, attempt.serverId(), usual);
    if (hedge != null) {
      hedge.seek(attempt);
    }
  }

  /** Whether one send is under way and nothing else can bring an answer. */
  boolean waitsOnlyFor(Attempt attempt) {
    return !done && open.size() == 1 && open.contains(attempt);
  }

  /** Time that the caller still waits. */
  long leftNanos() {
    return requireTimes().leftNanos();
  }

  @Override
  public boolean waiting() {
    return !done;
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
      requirePlacing().place();
    }
  }

  void rejected(Attempt attempt, int status) {
    open.remove(attempt);
    report.attempt("rejected", service, attempt.serverId(), "status", String.valueOf(status));
    if (othersOpen()) {
      return;
    }
    if (sends().mayFollowRejection()) {
      requirePlacing().place();
    } else {
      giveUp("rejected", RetryAfter.Cause.REJECTED);
    }
  }

  void broken(Attempt attempt, String reason) {
    open.remove(attempt);
    perhapsRun = true;
    report.broken(service, attempt.serverId(), reason, request.identity());
    if (othersOpen()) {
      return;
    }
    if (requireRoute().idempotent() && sends().mayFollow()) {
      requirePlacing().place();
    } else {
      giveUp("broken", RetryAfter.Cause.REJECTED);
    }
  }

  void answered(Attempt attempt, ServerReply.Whole whole) {
    open.remove(attempt);
    if (done) {
      return;
    }
    boolean failed = whole.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
    CallerAnswer result = Answers.passedOn(whole);
    if (failed) {
      perhapsRun = true;
      serverFailure = result;
    }
    if (failed && !open.isEmpty()) {
      return;
    }
    open.forEach(Attempt::outrun);
    if (failed && requireRoute().idempotent() && leftNanos() > 0 && sends().mayFollow()) {
      requirePlacing().place();
      return;
    }
    finish(result, failed ? SERVER_FAILED : RequestReport.ANSWERED);
  }

  /**
   * Compares a whole answer's latency with what was expected of the server.
   *
   * @param slowness how slow the server was when the request was sent; how slow it is when the
   *     answer leaves says nothing, and taken for it the usual latency came out a fifth too short
   */
  void learnLatency(long tookNanos, double slowness, ServerState server) {
    LatencyBaseline baseline = environment.routeState().baseline(requireRoute());
    requirePlacing().offerRoom(server);
    environment.metrics().latency(service, tookNanos);
    environment.servers().succeeded(server, tookNanos / (baseline.nanos() * slowness));
    baseline.learn(tookNanos / slowness);
  }

  /** Whether the end of an attempt changes nothing: the caller is served, or another may answer. */
  private boolean othersOpen() {
    return done || !open.isEmpty();
  }

  /** How often the request was sent, and whether it may be sent again. */
  FurtherSends sends() {
    if (sends == null) {
      throw new IllegalStateException("no route yet");
    }
    return sends;
  }

  @Override
  public void giveUp(String reason, RetryAfter.Cause cause) {
    if (serverFailure != null) {
      // Made by a server that ran the request: it tells the caller more than an answer of our own.
      finish(serverFailure, SERVER_FAILED);
    } else if (perhapsRun) {
      finish(Answers.unknown(HttpResponseStatus.BAD_GATEWAY, reason), reason);
    } else {
      refuse(reason, cause);
    }
  }

  private void refuse(String reason, RetryAfter.Cause cause) {
    double usual = times == null ? UNKNOWN_LATENCY_NANOS : times.usualNanos();
    long retryAfter =
        RetryAfter.nanos(cause, usual, environment.random(), environment.settings().mechanisms());
    long waited = environment.clocks().nanos() - request.readNanos();
    report.refused(service, reason, waited, retryAfter);
    finish(Answers.notRun(reason, retryAfter), reason);
  }

  private void timedOut() {
    if (done) {
      return;
    }
    boolean mayRun = perhapsRun || open.stream().anyMatch(Attempt::written);
    boolean idempotent = requireRoute().idempotent();
    List<Attempt> cancelled = List.copyOf(open);
    if (serverFailure != null) {
      finish(serverFailure, SERVER_FAILED);
    } else if (mayRun) {
      finish(Answers.unknown(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout"), "timeout");
    } else {
      refuse("timeout_before_send", RetryAfter.Cause.BUSY);
    }
    cancelled.forEach(attempt -> attempt.timedOut(idempotent));
  }

  private void finish(CallerAnswer result, String outcome) {
    if (done) {
      return;
    }
    done = true;
    leaveLine();
    cancelTimer();
    reportEnd(outcome, result.status().code());
    answer.accept(result);
  }

  private void leaveLine() {
    if (placing != null) {
      placing.leaveLine();
    }
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel();
    }
  }

  private void reportEnd(String outcome, int status) {
    String name = route == null ? "-" : route.name();
    long took = environment.clocks().nanos() - request.readNanos();
    Collection<String> tried = placing == null ? List.of() : placing.tried();
    long objectiveLeft = times == null ? 0 : times.objectiveLeftNanos();
    int sent = sends == null ? 0 : sends.count();
    report.end(name, service, outcome, status, sent, tried, took, objectiveLeft);
  }

  private Route requireRoute() {
    if (route == null) {
      throw new IllegalStateException("no route yet");
    }
    return route;
  }

  private RequestTimes requireTimes() {
    if (times == null) {
      throw new IllegalStateException("no route yet");
    }
    return times;
  }

  private Placing requirePlacing() {
    if (placing == null) {
      throw new IllegalStateException("no route yet");
    }
    return placing;
  }
}
