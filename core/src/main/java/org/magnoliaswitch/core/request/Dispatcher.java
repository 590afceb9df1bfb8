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
 * Admits a request, chooses servers and sends attempts to them within the retry budget.
 *
 * <p>A further attempt is made only if the previous one cannot have executed the request, or if
 * executing the request twice does no harm.
 */
public final class Dispatcher {
  /**
   * Trials start without waiting for reports of trials on other instances: a request that waits
   * would block its thread, and a request that is rejected instead would never get its trial.
   */
  private static final long TRIAL_PROPAGATION_NANOS = 0;

  /** Reason given when a request is not sent because servers crash while serving it. */
  static final String CRASHES_SERVERS = "servers end under this request";

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int BAD_GATEWAY = 502;
  private static final long NEVER = Long.MAX_VALUE;
  private static final long MIN_HEDGE_NANOS = 1_000_000L;

  /**
   * Quantile of the latency that must fit before the deadline for a request to be worth sending.
   */
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

  /** Serves a request that may be executed now. */
  public Reply dispatch(InboundRequest request) {
    RequestCrashes crashes = crashes(request);
    Verdict crashVerdict = crashes.verdict();
    // WAIT is rejected, too: unlike in the front, a waiting request would block its thread.
    if (crashVerdict == Verdict.REFUSED || crashVerdict == Verdict.WAIT) {
      return reject(request, crashes);
    }
    ServiceAdmission admission = request.service().admission();
    long now = clocks.nanos();
    long expectedLatency =
        request.service().counters().latency().quantile(EXPECTED_LATENCY_QUANTILE, now, 0);
    ServiceAdmission.Verdict verdict =
        admission.admit(request.kind(), request.deadline().atNanos() - expectedLatency);
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
        TRIAL_PROPAGATION_NANOS,
        () -> RequestCrashes.Identities.of(request.identity(), request.caller()));
  }

  /** Rejects the request; nothing has been sent. */
  private Reply reject(InboundRequest request, RequestCrashes crashes) {
    String service = request.service().service().name();
    timeline.record(EventKind.REQUEST_SHED, request.id(), service, "", "verdict=ENDS_SERVERS");
    long seconds = TimeUnit.NANOSECONDS.toSeconds(crashes.retryAfterNanos());
    int retryAfter = (int) Math.max(1, seconds);
    return Reply.local(SERVICE_UNAVAILABLE, Outcome.NOT_EXECUTED, CRASHES_SERVERS, retryAfter);
  }

  private static Reply releaseOnCompletion(Reply reply, ServiceAdmission admission) {
    Reply.Body.Streaming body = (Reply.Body.Streaming) reply.body();
    Reply.CompletionListener listener =
        complete -> {
          admission.release();
          body.completion().completed(complete);
        };
    return new Reply(
        reply.status(),
        reply.fields(),
        new Reply.Body.Streaming(body.stream(), body.length(), listener),
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
    Set<String> attemptedServers = new HashSet<>();
    AttemptResult result = new AttemptResult.NotSent("no eligible server");
    for (int number = 1; number <= policy.maxAttempts(); number++) {
      if (number > 1 && !(mayRetry(request, result, outerRetry, crashes) && budget.trySpend())) {
        break;
      }
      Optional<ServerHandle> server = choose(service, attemptedServers);
      if (server.isEmpty() || request.deadline().expired(clocks.nanos())) {
        break;
      }
      attemptedServers.add(server.get().id());
      result =
          combine(
              result, attempt(request, server.get(), number, attemptedServers, budget, crashes));
      if (result instanceof AttemptResult.Answered answered) {
        return answered.reply();
      }
    }
    return finalReply(request, result);
  }

  /**
   * Whether a further attempt may be made.
   *
   * <p>A refused request is not retried here if an outer layer already retries it: with seven
   * layers of calls, the retries of each layer would multiply.
   */
  private static boolean mayRetry(
      InboundRequest request, AttemptResult result, boolean outerRetry, RequestCrashes crashes) {
    return switch (result) {
      case AttemptResult.Answered answered -> false;
      case AttemptResult.NotSent notSent -> crashes.mayRetry();
      case AttemptResult.Refused refused -> !outerRetry && request.repeatable();
      case AttemptResult.Broken broken ->
          !outerRetry && request.idempotent() && request.repeatable() && crashes.mayRetry();
      case AttemptResult.TimedOut timedOut -> false;
    };
  }

  /**
   * Combines the results of two attempts.
   *
   * <p>Without this, a broken attempt followed by one that was not sent would be reported as not
   * executed, although the first may have been executed.
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
      Set<String> attemptedServers,
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
            () -> hedge.set(startHedge(request, first, number, attemptedServers, budget, crashes)));
    Hedge second = hedge.get();
    return second == null ? result : firstAnswer(request, result, second);
  }

  private record Hedge(AttemptRunner.Attempt attempt, CompletableFuture<AttemptResult> result) {}

  private long hedgeDelay(InboundRequest request, RetryPolicy policy) {
    long fallback = request.deadline().remaining(clocks.nanos()) / 2;
    long quantile =
        request
            .service()
            .counters()
            .latency()
            .quantile(policy.hedgeQuantile(), clocks.nanos(), fallback);
    return Math.max(MIN_HEDGE_NANOS, quantile);
  }

  private @Nullable Hedge startHedge(
      InboundRequest request,
      AttemptRunner.Attempt first,
      int number,
      Set<String> attemptedServers,
      RetryBudget budget,
      RequestCrashes crashes) {
    Optional<ServerHandle> other = choose(request.service(), attemptedServers);
    ServiceAdmission admission = request.service().admission();
    if (other.isEmpty() || !admission.tryAcquireSpare()) {
      return null;
    }
    if (!budget.trySpend()) {
      admission.release();
      return null;
    }
    first.server().load().recordSlow(hedgeDelay(request, request.service().profile().retry()));
    attemptedServers.add(other.get().id());
    AttemptRunner.Attempt attempt = runner.prepare(request, other.get(), number + 1, crashes);
    CompletableFuture<AttemptResult> future = new CompletableFuture<>();
    Thread.ofVirtual()
        .name("hedge")
        .start(
            () -> {
              AttemptResult result = runHedge(attempt, admission);
              boolean answered = result instanceof AttemptResult.Answered;
              if (future.complete(result) && answered) {
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
      if (!second.result().complete(new AttemptResult.Broken("the other attempt answered first"))) {
        discard(second.result().join());
      }
      second.attempt().cancel();
      return result;
    }
    try {
      long remaining = Math.max(0, request.deadline().remaining(clocks.nanos()));
      return combine(result, second.result().get(remaining, TimeUnit.NANOSECONDS));
    } catch (ExecutionException | TimeoutException e) {
      second.attempt().cancel();
      return new AttemptResult.TimedOut();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      second.attempt().cancel();
      return new AttemptResult.TimedOut();
    }
  }

  /**
   * Closes the connection of a streamed answer that is not used because the other attempt answered
   * first.
   */
  private static void discard(AttemptResult result) {
    if (result instanceof AttemptResult.Answered answered
        && answered.reply().body() instanceof Reply.Body.Streaming streaming) {
      try {
        streaming.completion().completed(false);
      } catch (java.io.IOException e) {
        // The answer is not used, so a failure to close its connection does not affect the caller.
        return;
      }
    }
  }

  private Optional<ServerHandle> choose(ServiceState service, Set<String> attemptedServers) {
    long now = clocks.nanos();
    List<ServerHandle> eligible = eligible(service, attemptedServers, now);
    return ServerChooser.choose(
        service.profile().routing(),
        eligible,
        localDataCentre,
        service.counters().roundRobin(),
        now,
        random.get());
  }

  private List<ServerHandle> eligible(
      ServiceState service, Set<String> attemptedServers, long now) {
    List<ServerHandle> available = new ArrayList<>();
    List<ServerHandle> ejected = new ArrayList<>();
    for (ServerHandle handle : service.servers()) {
      boolean sendable =
          handle.server().state() == ServerState.ACTIVE
              && !leaving.leaving(handle.id())
              && !handle.load().pause().active(now)
              && !attemptedServers.contains(handle.id());
      if (sendable && handle.load().ejection().active(now)) {
        ejected.add(handle);
      } else if (sendable) {
        available.add(handle);
      }
    }
    return available.isEmpty() ? ejected : available;
  }

  private static Reply finalReply(InboundRequest request, AttemptResult result) {
    int retryAfter = request.service().admission().retryAfterSeconds();
    return switch (result) {
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
