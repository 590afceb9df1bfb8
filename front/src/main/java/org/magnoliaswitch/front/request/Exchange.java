package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.crash.Verdict;
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
  /** Stands for the usual latency while there is no configuration: a start takes about as long. */
  private static final double UNKNOWN_LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(160);

  /** Servers tried in vain, without a byte written, before the request is refused. */
  private static final int MAX_UNREACHABLE = 3;

  /** Why a request under which servers end gets no send. */
  static final String ENDS_SERVERS = "ends_servers";

  private final Environment environment;
  private final ServerFinder finder;
  private final WaitingLine<Placing> line;
  private final CallerRequest request;
  private final Consumer<CallerAnswer> answer;
  private final String requestId;
  private final RequestReport report;
  private final CrashGuard guard;
  private final List<Attempt> open = new ArrayList<>();
  private @Nullable Route route;
  private @Nullable RequestTimes times;
  private @Nullable Placing placing;
  private String service = "";
  private Loop.@Nullable Timer timer;
  private @Nullable FurtherSends sends;
  private int unreachable;
  private final KnownFate fate = new KnownFate();
  private @Nullable Hedge hedge;
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
    this.guard = new CrashGuard(environment, request);
  }

  /** Begins; the route is looked up once there is a configuration. */
  void start(Supplier<Optional<Route>> router) {
    new FirstConfiguration(environment, request.readNanos())
        .await(
            this::waiting,
            () -> begin(router.get()),
            () -> refuse("no_configuration", RetryAfter.Cause.BUSY));
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
    sends = new FurtherSends(environment, chosen, service, left, report, guard.crashes());
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
    attempt.start(known(route).idempotent());
    double usual = known(times).usualNanos();
    long delay = HedgeDelay.nanos(usual, known(times).objectiveLeftNanos());
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
    return known(times).leftNanos();
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
      known(placing).place();
    }
  }

  /**
   * Something new is known of requests under which servers end. If this is one of them, its sends
   * are cancelled: a server drops work whose connection closes, and so is spared. What may run only
   * once is left to end, since half of a run may do harm.
   */
  void crashesChanged() {
    boolean trial = open.stream().anyMatch(Attempt::warned);
    if (done || route == null || !guard.crashes().stopsSends(trial)) {
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
      known(placing).place();
    }
  }

  void rejected(Attempt attempt, int status) {
    open.remove(attempt);
    report.attempt("rejected", service, attempt.serverId(), "status", String.valueOf(status));
    if (othersOpen()) {
      return;
    }
    if (sends().mayFollowRejection()) {
      known(placing).place();
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
    if (known(route).idempotent() && sends().mayFollow()) {
      known(placing).place();
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
      fate.serverFailed(result);
    }
    if (failed && !open.isEmpty()) {
      return;
    }
    open.forEach(Attempt::outrun);
    if (failed && known(route).idempotent() && leftNanos() > 0 && sends().mayFollow()) {
      known(placing).place();
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
    LatencyBaseline baseline = environment.routeState().baseline(known(route));
    known(placing).offerRoom(server);
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
    return known(sends);
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

  private void refuse(String reason, RetryAfter.Cause cause) {
    refuse(reason, retryAfterNanos(cause));
  }

  private void refuse(String reason, long retryAfter) {
    long waited = environment.clocks().nanos() - request.readNanos();
    report.refused(service, reason, waited, retryAfter);
    finish(Answers.notRun(reason, retryAfter), reason);
  }

  private long retryAfterNanos(RetryAfter.Cause cause) {
    double usual = times == null ? UNKNOWN_LATENCY_NANOS : times.usualNanos();
    return RetryAfter.nanos(
        cause, usual, environment.random(), environment.settings().mechanisms());
  }

  private void timedOut() {
    if (done) {
      return;
    }
    boolean written = open.stream().anyMatch(Attempt::written);
    boolean idempotent = known(route).idempotent();
    List<Attempt> cancelled = List.copyOf(open);
    fate.end(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout", written)
        .ifPresentOrElse(
            end -> finish(end.answer(), end.outcome()),
            () -> refuse("timeout_before_send", RetryAfter.Cause.BUSY));
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

  private static <T> T known(@Nullable T value) {
    if (value == null) {
      throw new IllegalStateException("no route yet");
    }
    return value;
  }
}
