package org.magnoliaswitch.core.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.crash.Verdict;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.LeavingServers;
import org.magnoliaswitch.core.process.RequestCrashes;
import org.magnoliaswitch.core.process.RetryBudget;
import org.magnoliaswitch.core.process.ServerHandle;
import org.magnoliaswitch.core.process.ServiceAdmission;
import org.magnoliaswitch.core.process.ServiceState;
import org.magnoliaswitch.core.process.Timeline;
import org.magnoliaswitch.core.version.RetryPolicy;
import org.magnoliaswitch.core.version.ServerState;

/**
 * Admits a request, chooses servers and tries them within the retry budget.
 *
 * <p>A further attempt is made only when the one before cannot have executed the request, or when
 * executing it twice does no harm.
 */
public final class Dispatcher {
  /** A request that waited would keep its thread, and turned away it never gets its trial. */
  private static final long NO_TRIAL_NOTICE_NANOS = 0;

  /** Why a request under which servers end is not sent. */
  static final String CRASHES_SERVERS = "servers end under this request";

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int BAD_GATEWAY = 502;
  private static final long NEVER = Long.MAX_VALUE;
  private static final long MIN_HEDGE_NANOS = 1_000_000L;

  /** Quantile of latency that a request needs at least, for it to be worth sending. */
  private static final double EXPECTED_LATENCY_QUANTILE = 0.5;

  private final Clocks clocks;
  private final Timeline timeline;
  private final LeavingServers leaving;
  private final AttemptRunner runner;
  private final CrashWatch crashWatch;
  private final String localDataCentre;
  private final Supplier<RandomGenerator> random;

  public Dispatcher(
      Clocks clocks,
      Timeline timeline,
      LeavingServers leaving,
      AttemptRunner runner,
      CrashWatch crashWatch,
      String localDataCentre,
      Supplier<RandomGenerator> random) {
    this.clocks = clocks;
    this.timeline = timeline;
    this.leaving = leaving;
    this.runner = runner;
    this.crashWatch = crashWatch;
    this.localDataCentre = localDataCentre;
    this.random = random;
  }

  /** Serves a request that may be sent now. */
  public Reply dispatch(InboundRequest request) {
    RequestCrashes crashes = crashes(request);
    Verdict allowed = crashes.verdict();
    if (allowed == Verdict.REFUSED || allowed == Verdict.WAIT) {
      return reject(request, crashes);
    }
    ServiceAdmission admission = request.service().admission();
    long now = clocks.nanos();
    long usual = request.service().counters().latency().quantile(EXPECTED_LATENCY_QUANTILE, now, 0);
    ServiceAdmission.Verdict verdict =
        admission.admit(request.kind(), request.deadline().atNanos() - usual);
    if (verdict != ServiceAdmission.Verdict.ADMITTED) {
      timeline.record(
          EventKind.REQUEST_SHED,
          request.id(),
          request.service().service().name(),
          "",
          "kind=" + request.kind().name() + " verdict=" + verdict);
      return Reply.local(
          SERVICE_UNAVAILABLE, Outcome.NOT_EXECUTED, "overloaded", admission.retryAfterSeconds());
    }
    boolean streaming = false;
    try {
      Reply reply = attemptAll(request, crashes);
      streaming = reply.body() instanceof Reply.Body.Streaming;
      return streaming ? releaseOnCompletion(reply, admission) : reply;
    } finally {
      if (!streaming) {
        admission.release();
      }
    }
  }

  private RequestCrashes crashes(InboundRequest request) {
    return new RequestCrashes(
        crashWatch,
        clocks,
        NO_TRIAL_NOTICE_NANOS,
        () -> RequestCrashes.Identities.of(request.identity(), request.caller()));
  }

  /** Told at once, since waiting would not help; nothing of this try has been sent. */
  private Reply reject(InboundRequest request, RequestCrashes crashes) {
    String service = request.service().service().name();
    timeline.record(EventKind.REQUEST_SHED, request.id(), service, "", "verdict=ENDS_SERVERS");
    long seconds = TimeUnit.NANOSECONDS.toSeconds(crashes.retryAfterNanos());
    int retryAfter = (int) Math.max(1, seconds);
    return Reply.local(SERVICE_UNAVAILABLE, Outcome.NOT_EXECUTED, CRASHES_SERVERS, retryAfter);
  }

  private static Reply releaseOnCompletion(Reply reply, ServiceAdmission admission) {
    Reply.Body.Streaming body = (Reply.Body.Streaming) reply.body();
    Reply.CompletionListener end =
        whole -> {
          admission.release();
          body.completion().completed(whole);
        };
    return new Reply(
        reply.status(),
        reply.fields(),
        new Reply.Body.Streaming(body.stream(), body.length(), end),
        reply.outcome());
  }

  private Reply attemptAll(InboundRequest request, RequestCrashes crashes) {
    ServiceState service = request.service();
    RetryPolicy policy = service.profile().retry();
    RetryBudget budget = service.counters().budget(request.attempt().callerGroup());
    boolean outerRetry = request.attempt().number() > 1;
    if (!outerRetry) {
      budget.earn(policy.budgetRatio());
    }
    Set<String> tried = new HashSet<>();
    AttemptResult last = new AttemptResult.NotSent("no server can take it");
    for (int number = 1; number <= policy.maxAttempts(); number++) {
      if (number > 1 && !(mayRetry(request, last, outerRetry, crashes) && budget.spend())) {
        break;
      }
      Optional<ServerHandle> server = choose(service, tried);
      if (server.isEmpty() || request.deadline().expired(clocks.nanos())) {
        break;
      }
      tried.add(server.get().id());
      last = combine(last, attempt(request, server.get(), number, tried, budget, crashes));
      if (last instanceof AttemptResult.Answered answered) {
        return answered.reply();
      }
    }
    return finalReply(request, last);
  }

  /**
   * Whether a further attempt does no harm.
   *
   * <p>A server's refusal is not repeated within a request that an outer layer retries already:
   * with calls seven deep, retries at each layer would multiply.
   */
  private static boolean mayRetry(
      InboundRequest request, AttemptResult last, boolean outerRetry, RequestCrashes crashes) {
    return switch (last) {
      case AttemptResult.Answered answered -> false;
      case AttemptResult.NotSent notSent -> crashes.mayRepeat();
      case AttemptResult.Refused refused -> !outerRetry && request.repeatable();
      case AttemptResult.Broken broken ->
          !outerRetry && request.idempotent() && request.repeatable() && crashes.mayRepeat();
      case AttemptResult.TimedOut timedOut -> false;
    };
  }

  /**
   * What two attempts amount to together.
   *
   * <p>Without this, a broken attempt followed by one that was not sent would be told as not
   * executed, although the first may have been.
   */
  private static AttemptResult combine(AttemptResult earlier, AttemptResult later) {
    boolean earlierMayHaveRun =
        earlier instanceof AttemptResult.Broken || earlier instanceof AttemptResult.TimedOut;
    boolean laterCannotHaveRun =
        later instanceof AttemptResult.NotSent || later instanceof AttemptResult.Refused;
    return earlierMayHaveRun && laterCannotHaveRun ? earlier : later;
  }

  private AttemptResult attempt(
      InboundRequest request,
      ServerHandle server,
      int number,
      Set<String> tried,
      RetryBudget budget,
      RequestCrashes crashes) {
    AttemptRunner.Attempt first = runner.prepare(request, server, number, crashes);
    RetryPolicy policy = request.service().profile().retry();
    boolean hedged =
        policy.hedging()
            && request.idempotent()
            && request.repeatable()
            && request.attempt().number() == 1
            && crashes.mayHedge();
    if (!hedged) {
      return first.run(NEVER, () -> {});
    }
    AtomicReference<@Nullable Hedge> hedge = new AtomicReference<>();
    AttemptResult result =
        first.run(
            hedgeDelay(request, policy),
            () -> hedge.set(startHedge(request, first, number, tried, budget, crashes)));
    Hedge second = hedge.get();
    return second == null ? result : firstAnswer(request, result, second);
  }

  private record Hedge(AttemptRunner.Attempt attempt, CompletableFuture<AttemptResult> result) {}

  private long hedgeDelay(InboundRequest request, RetryPolicy policy) {
    long fallback = request.deadline().remaining(clocks.nanos()) / 2;
    long learnt =
        request
            .service()
            .counters()
            .latency()
            .quantile(policy.hedgeQuantile(), clocks.nanos(), fallback);
    return Math.max(MIN_HEDGE_NANOS, learnt);
  }

  private @Nullable Hedge startHedge(
      InboundRequest request,
      AttemptRunner.Attempt first,
      int number,
      Set<String> tried,
      RetryBudget budget,
      RequestCrashes crashes) {
    Optional<ServerHandle> other = choose(request.service(), tried);
    ServiceAdmission admission = request.service().admission();
    if (other.isEmpty() || !admission.takeSpareRoom()) {
      return null;
    }
    if (!budget.spend()) {
      admission.release();
      return null;
    }
    first.server().load().slow(hedgeDelay(request, request.service().profile().retry()));
    tried.add(other.get().id());
    AttemptRunner.Attempt attempt = runner.prepare(request, other.get(), number + 1, crashes);
    CompletableFuture<AttemptResult> future = new CompletableFuture<>();
    Thread.ofVirtual()
        .name("hedge")
        .start(
            () -> {
              AttemptResult result = runHedge(attempt, admission);
              boolean wins = result instanceof AttemptResult.Answered;
              if (future.complete(result) && wins) {
                first.cancel();
              }
            });
    return new Hedge(attempt, future);
  }

  private static AttemptResult runHedge(AttemptRunner.Attempt attempt, ServiceAdmission admission) {
    try {
      return attempt.run(NEVER, () -> {});
    } finally {
      admission.release();
    }
  }

  private AttemptResult firstAnswer(InboundRequest request, AttemptResult result, Hedge second) {
    if (result instanceof AttemptResult.Answered) {
      if (!second.result().complete(new AttemptResult.Broken("lost"))) {
        discard(second.result().join());
      }
      second.attempt().cancel();
      return result;
    }
    try {
      long left = Math.max(0, request.deadline().remaining(clocks.nanos()));
      return combine(result, second.result().get(left, TimeUnit.NANOSECONDS));
    } catch (ExecutionException | TimeoutException e) {
      second.attempt().cancel();
      return new AttemptResult.TimedOut();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      second.attempt().cancel();
      return new AttemptResult.TimedOut();
    }
  }

  /** Closes the connection of a streamed answer that lost. */
  private static void discard(AttemptResult result) {
    if (result instanceof AttemptResult.Answered answered
        && answered.reply().body() instanceof Reply.Body.Streaming streaming) {
      try {
        streaming.completion().completed(false);
      } catch (java.io.IOException e) {
        // The answer was not wanted; a failure to close it changes nothing for the caller.
        return;
      }
    }
  }

  private Optional<ServerHandle> choose(ServiceState service, Set<String> tried) {
    long now = clocks.nanos();
    List<ServerHandle> eligible = eligible(service, tried, now);
    return ServerChooser.choose(
        service.profile().routing(),
        eligible,
        localDataCentre,
        service.counters().turn(),
        now,
        random.get());
  }

  private List<ServerHandle> eligible(ServiceState service, Set<String> tried, long now) {
    List<ServerHandle> open = new ArrayList<>();
    List<ServerHandle> ejected = new ArrayList<>();
    for (ServerHandle handle : service.servers()) {
      boolean may =
          handle.server().state() == ServerState.ACTIVE
              && !leaving.leaving(handle.id())
              && !handle.load().pause().active(now)
              && !tried.contains(handle.id());
      if (may && handle.load().ejection().active(now)) {
        ejected.add(handle);
      } else if (may) {
        open.add(handle);
      }
    }
    return open.isEmpty() ? ejected : open;
  }

  private static Reply finalReply(InboundRequest request, AttemptResult last) {
    int retryAfter = request.service().admission().retryAfterSeconds();
    return switch (last) {
      case AttemptResult.Answered answered -> answered.reply();
      case AttemptResult.NotSent notSent ->
          Reply.local(SERVICE_UNAVAILABLE, Outcome.NOT_EXECUTED, "no server reached", retryAfter);
      case AttemptResult.Refused refused ->
          Reply.local(
              SERVICE_UNAVAILABLE, Outcome.NOT_EXECUTED, "refused by the server", retryAfter);
      case AttemptResult.Broken broken ->
          Reply.local(BAD_GATEWAY, Outcome.UNKNOWN, "the answer was cut short", 0);
      case AttemptResult.TimedOut timedOut ->
          Reply.local(GATEWAY_TIMEOUT, Outcome.UNKNOWN, "no answer in time", 0);
    };
  }
}
