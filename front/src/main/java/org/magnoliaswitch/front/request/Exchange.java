package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.connection.CallerAnswer;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.RequestHandler;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.connection.ServerReply;
import org.magnoliaswitch.front.load.Placement;
import org.magnoliaswitch.front.load.Placement.Ranked;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.process.LatencyBaseline;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.ServicePolicy;

/**
 * One request of a caller, from its last byte to its final answer.
 *
 * <p>A request that may run only once is sent a second time only when the first server said that it
 * has not run it, or when nothing of it was written. After any other trouble its outcome is
 * unknown, and the answer says so: 502 or 504, never 503.
 */
final class Exchange implements RequestHandler.Call {
  /** Candidates asked for their load: of three, one is undisturbed nearly always. */
  private static final int PROBED = 3;

  /** A load sample this young needs no confirmation. */
  private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** A sample that shows no more than this counts as undisturbed. */
  private static final double UNDISTURBED = 1.3;

  /** Servers tried in vain, without a byte written, before the request is refused. */
  private static final int MAX_UNREACHABLE = 3;

  /** Callers that were refused come back spread over this span. */
  private static final long RETRY_AFTER_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

  private static final long RETRY_AFTER_SPAN_NANOS = TimeUnit.MILLISECONDS.toNanos(160);

  private final Environment environment;
  private final Probes probes;
  private final CallerRequest request;
  private final Consumer<CallerAnswer> answer;
  private final String requestId;
  private final Set<String> tried = new HashSet<>();
  private final List<Attempt> open = new ArrayList<>();
  private @Nullable Route route;
  private String service = "";
  private long deadlineNanos;
  private Loop.@Nullable Timer timer;
  private int sends;
  private int unreachable;
  private boolean perhapsRun;
  private boolean done;

  Exchange(
      Environment environment,
      Probes probes,
      CallerRequest request,
      Consumer<CallerAnswer> answer) {
    this.environment = environment;
    this.probes = probes;
    this.request = request;
    this.answer = answer;
    this.requestId = request.headers().get(environment.names().requestId(), "");
  }

  void start(Optional<Route> found) {
    if (!environment.routes().get().known() || !environment.servers().known()) {
      refuse("no_configuration");
      return;
    }
    if (found.isEmpty()) {
      finish(Answers.noRoute(), "no_route");
      return;
    }
    route = found.get();
    long wait = Math.min(route.timeoutNanos(), callerWaitNanos(route));
    deadlineNanos = request.readNanos() + wait;
    long left = deadlineNanos - environment.clocks().nanos();
    timer = environment.loop().after(left, this::timedOut);
    service = environment.routeState().pick(route);
    environment.routeState().budget(service).request(environment.clocks().nanos());
    place();
  }

  @Override
  public void callerLeft() {
    if (done) {
      return;
    }
    done = true;
    cancelTimer();
    // Work nobody waits for is cancelled only where a half-done run does no harm.
    if (route == null || route.idempotent()) {
      open.forEach(Attempt::abandon);
    }
    log(false, "caller_left", 0);
  }

  private long callerWaitNanos(Route current) {
    String value = request.headers().get(environment.names().deadlineMillis());
    if (value == null) {
      return current.timeoutNanos();
    }
    try {
      return TimeUnit.MILLISECONDS.toNanos(Math.max(0, Long.parseLong(value.strip())));
    } catch (NumberFormatException e) {
      return current.timeoutNanos();
    }
  }

  private void place() {
    if (done) {
      return;
    }
    List<Ranked> ranked = rank();
    if (ranked.isEmpty()) {
      noServer();
      return;
    }
    ServerState best = ranked.getFirst().server();
    long now = environment.clocks().nanos();
    boolean fresh =
        best.hasSample()
            && best.sampleAgeNanos(now) < FRESH_NANOS
            && best.sample().slowness() <= UNDISTURBED;
    Optional<ServicePolicy> policy = environment.routes().get().service(service);
    boolean reporting = ranked.stream().anyMatch(r -> r.server().hasSample());
    if (fresh || !reporting || policy.isEmpty()) {
      send(poolOf(best));
      return;
    }
    List<ServerPool> candidates =
        ranked.stream().limit(PROBED).map(r -> poolOf(r.server())).toList();
    probes.ask(candidates, policy.get().healthPath(), this::chooseAfterProbes);
  }

  private void chooseAfterProbes() {
    if (done) {
      return;
    }
    List<Ranked> ranked = rank();
    if (ranked.isEmpty()) {
      noServer();
    } else {
      send(poolOf(ranked.getFirst().server()));
    }
  }

  private List<Ranked> rank() {
    Route current = requireRoute();
    List<ServerState> eligible = new ArrayList<>();
    for (ServerPool pool : environment.servers().of(service)) {
      if (pool.state().acceptsWork() && !tried.contains(pool.state().entry().id())) {
        eligible.add(pool.state());
      }
    }
    Placement.Context context =
        new Placement.Context(
            environment.routeState().baseline(current).nanos(),
            current.objectiveNanos(),
            environment.settings().dataCentre(),
            environment.clocks().nanos());
    return Placement.rank(eligible, context, environment.random());
  }

  private ServerPool poolOf(ServerState state) {
    for (ServerPool pool : environment.servers().of(service)) {
      if (pool.state() == state) {
        return pool;
      }
    }
    throw new IllegalStateException("a ranked server is in the directory");
  }

  private void send(ServerPool pool) {
    tried.add(pool.state().entry().id());
    Attempt attempt = new Attempt(this, environment, pool, request, requestId);
    open.add(attempt);
    attempt.start(requireRoute().idempotent());
  }

  /** Time that the caller still waits. */
  long leftNanos() {
    return deadlineNanos - environment.clocks().nanos();
  }

  /** Whether the exchange still wants an answer. */
  boolean waiting() {
    return !done;
  }

  /** Notes that the request's first byte is about to be written. */
  void writing() {
    sends++;
  }

  void unreachable(Attempt attempt, String reason) {
    open.remove(attempt);
    unreachable++;
    environment
        .log()
        .trouble(
            "unreachable",
            "request=%s service=%s server=%s reason=%s",
            requestId,
            service,
            attempt.serverId(),
            reason);
    if (done) {
      return;
    }
    if (unreachable >= MAX_UNREACHABLE) {
      giveUp("unreachable");
    } else {
      place();
    }
  }

  void rejected(Attempt attempt, int status) {
    open.remove(attempt);
    environment
        .log()
        .trouble(
            "rejected",
            "request=%s service=%s server=%s status=%d",
            requestId,
            service,
            attempt.serverId(),
            status);
    if (done) {
      return;
    }
    if (maySendAgain()) {
      place();
    } else {
      giveUp("rejected");
    }
  }

  void broken(Attempt attempt, String reason) {
    open.remove(attempt);
    perhapsRun = true;
    environment
        .log()
        .trouble(
            "broken",
            "request=%s service=%s server=%s reason=%s",
            requestId,
            service,
            attempt.serverId(),
            reason);
    if (done) {
      return;
    }
    if (requireRoute().idempotent() && maySendAgain()) {
      place();
    } else {
      giveUp("broken");
    }
  }

  void answered(Attempt attempt, ServerReply.Whole whole) {
    open.remove(attempt);
    if (done) {
      return;
    }
    int status = whole.status().code();
    boolean failed = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
    if (failed && requireRoute().idempotent() && leftNanos() > 0 && maySendAgain()) {
      perhapsRun = true;
      place();
      return;
    }
    CallerAnswer result =
        promisesNotRun(status)
            ? Answers.unknown(HttpResponseStatus.BAD_GATEWAY, "unconfirmed_refusal")
            : new CallerAnswer(whole.status(), Headers.endToEnd(whole.headers()), whole.body());
    finish(result, failed ? "server_failed" : "answered");
  }

  /** Compares a whole answer's latency with what was expected of the server. */
  void learnLatency(long tookNanos, ServerState server) {
    LatencyBaseline baseline = environment.routeState().baseline(requireRoute());
    double slowness = Math.max(1, server.sample().slowness());
    server.succeeded(tookNanos / (baseline.nanos() * slowness), environment.clocks().nanos());
    baseline.learn(tookNanos / slowness);
  }

  /** Statuses by which callers understand that a request has not run. */
  private static boolean promisesNotRun(int status) {
    return status == HttpResponseStatus.REQUEST_TIMEOUT.code()
        || status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
        || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
  }

  private boolean maySendAgain() {
    return sends < requireRoute().maxServers()
        && leftNanos() > 0
        && environment
            .routeState()
            .budget(service)
            .spend(environment.instances().get(), environment.clocks().nanos());
  }

  private void noServer() {
    giveUp("no_server");
  }

  private void giveUp(String reason) {
    if (perhapsRun) {
      finish(Answers.unknown(HttpResponseStatus.BAD_GATEWAY, reason), reason);
    } else {
      refuse(reason);
    }
  }

  private void refuse(String reason) {
    long span = (long) (RETRY_AFTER_SPAN_NANOS * environment.random().nextDouble());
    finish(Answers.notRun(reason, RETRY_AFTER_MIN_NANOS + span), reason);
  }

  private void timedOut() {
    if (done) {
      return;
    }
    boolean mayRun = perhapsRun || open.stream().anyMatch(Attempt::written);
    boolean idempotent = requireRoute().idempotent();
    List<Attempt> cancelled = List.copyOf(open);
    if (mayRun) {
      finish(Answers.unknown(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout"), "timeout");
    } else {
      refuse("timeout_before_send");
    }
    cancelled.forEach(attempt -> attempt.timedOut(idempotent));
  }

  private void finish(CallerAnswer result, String outcome) {
    if (done) {
      return;
    }
    done = true;
    cancelTimer();
    log(outcome.equals("answered"), outcome, result.status().code());
    answer.accept(result);
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel();
    }
  }

  private void log(boolean success, String outcome, int status) {
    long took = environment.clocks().nanos() - request.readNanos();
    String name = route == null ? "-" : route.name();
    String format =
        "request=%s route=%s service=%s outcome=%s status=%d sends=%d servers=%s took_ms=%d"
            + " version=%d";
    Object[] values = {
      requestId,
      name,
      service,
      outcome,
      status,
      sends,
      String.join("/", tried),
      TimeUnit.NANOSECONDS.toMillis(took),
      environment.routes().get().version()
    };
    if (success) {
      environment.log().routine("end", format, values);
    } else {
      environment.log().trouble("end", format, values);
    }
  }

  private Route requireRoute() {
    if (route == null) {
      throw new IllegalStateException("no route yet");
    }
    return route;
  }
}
