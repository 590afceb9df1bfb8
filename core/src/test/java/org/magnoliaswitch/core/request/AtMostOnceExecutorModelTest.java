package org.magnoliaswitch.core.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.magnoliaswitch.core.clock.HybridClock;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.MemberState;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.process.ClaimBatcher;
import org.magnoliaswitch.core.process.KeyClaims;
import org.magnoliaswitch.core.process.KeyIssuer;
import org.magnoliaswitch.core.process.KeyOutcome;
import org.magnoliaswitch.core.process.Membership;
import org.magnoliaswitch.core.process.OutcomeLedger;
import org.magnoliaswitch.core.process.OutcomeRecords;
import org.magnoliaswitch.core.process.ServiceRegistry;
import org.magnoliaswitch.core.process.ServiceState;
import org.magnoliaswitch.core.process.Timeline;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.FakePlatform;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.version.SnapshotParser;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Model check of at-most-once execution with three instances and callers that retry. A seed
 * determines how their steps are interleaved, while claims fail in all possible ways, instances are
 * killed or stopped, and the platform is restored from copies.
 */
public final class AtMostOnceExecutorModelTest {
  private static final int INTERLEAVINGS = 2_000;
  private static final int CALLERS = 4;
  private static final int ATTEMPTS = 4;

  @DataProvider(parallel = true)
  public static Object[][] cases() {
    List<Object[]> cases = new ArrayList<>();
    for (int bits = 0; bits < 32; bits++) {
      for (boolean issued : new boolean[] {false, true}) {
        cases.add(
            new Object[] {
              new ModelFaults(
                  (bits & 1) > 0, (bits & 2) > 0, (bits & 4) > 0, (bits & 8) > 0, (bits & 16) > 0),
              issued
            });
      }
    }
    return cases.toArray(new Object[0][]);
  }

  @Test(dataProvider = "cases")
  public void executesAtMostOnceAndReportsActualOutcome(Object faults, boolean issuedKeys)
      throws Exception {
    for (int seed = 1; seed <= INTERLEAVINGS / 8; seed++) {
      Simulation simulation = new Simulation(seed, (ModelFaults) faults, issuedKeys);
      simulation.run();
      simulation.check("faults " + faults + " issued " + issuedKeys + " seed " + seed);
    }
  }

  /** Verifies that the check can fail: without claims the model finds double executions. */
  @Test
  public void findsDoubleExecutionsWhenClaimsAreIgnored() throws Exception {
    int detected = 0;
    for (int seed = 1; seed <= 50; seed++) {
      Simulation simulation =
          new Simulation(seed, new ModelFaults(false, false, false, true, false), false);
      simulation.ignoreClaims = true;
      simulation.run();
      detected += simulation.executions.values().stream().anyMatch(count -> count > 1) ? 1 : 0;
    }
    assertTrue(detected > 0, "no double execution in 50 interleavings");
  }

  private static final class Instance {
    private final Member member;
    private final OutcomeLedger ledger;
    private final KeyIssuer issuer;
    private final OutcomeRecords records;
    private final AtMostOnceExecutor executor;
    private boolean alive = true;
    private boolean accepting = true;
    private int activeRequests;

    Instance(Simulation simulation, int number) {
      this.member = member(number);
      this.ledger = new OutcomeLedger(simulation.clock.clocks());
      this.issuer =
          new KeyIssuer(member.incarnation(), simulation.secret, simulation.clock.clocks());
      this.records =
          new OutcomeRecords(simulation.platform, member.incarnation(), simulation.clock.clocks());
      Membership membership = new Membership(member, simulation.clock.clocks());
      for (int other = 0; other < 3; other++) {
        membership.merge(member(other));
      }
      AtMostOnceExecutor.Dependencies dependencies =
          new AtMostOnceExecutor.Dependencies(
              issuer,
              ledger,
              simulation.claims(),
              records,
              membership,
              simulation::forward,
              simulation::await);
      Timeline timeline = new Timeline("t", new HybridClock(simulation.clock), 10);
      this.executor =
          new AtMostOnceExecutor(
              dependencies, simulation::execute, true, simulation.clock.clocks(), timeline);
    }

    private static Member member(int number) {
      return new Member(
          "inc" + number, "entry-" + number, "dc", "h", 1, 2, 3 + number, 1, MemberState.SERVING);
    }
  }

  private static final class Simulation {
    private final ManualClock clock = new ManualClock();
    private final FakePlatform platform = new FakePlatform();
    private final PeerSecret secret =
        new PeerSecret("0123456789abcdef".getBytes(StandardCharsets.US_ASCII));
    private final StepScheduler scheduler;
    private final ModelFaults faults;
    private final boolean issuedKeys;
    private final List<Instance> instances = new ArrayList<>();
    private final ServiceState service;
    private final Map<String, Integer> executions = new HashMap<>();
    private final Map<String, Integer> executedAttempts = new HashMap<>();
    private final List<ReportedOutcome> reported = new ArrayList<>();
    private boolean ignoreClaims;

    Simulation(long seed, ModelFaults faults, boolean issuedKeys) throws Exception {
      this.scheduler = new StepScheduler(seed);
      this.faults = faults;
      this.issuedKeys = issuedKeys;
      for (int i = 0; i < 3; i++) {
        instances.add(new Instance(this, i));
      }
      ServiceRegistry registry =
          new ServiceRegistry(
              new Membership(instances.get(0).member, clock.clocks()), clock.clocks());
      registry.apply(
          SnapshotParser.parse(
              1, "d", Declarations.parts(Declarations.profile(), Declarations.service(1))));
      this.service = registry.state().services().get("booking");
    }

    void run() {
      for (int caller = 0; caller < CALLERS; caller++) {
        String operation = "op" + caller;
        Instance issuer = instances.get(caller % instances.size());
        String key = issuedKeys ? issueKey(issuer, operation) : "own-" + operation;
        scheduler.add("caller", () -> call(operation, key));
      }
      if (faults.kills()) {
        scheduler.add("killer", () -> stopRandomInstance(false));
      }
      if (faults.stops()) {
        scheduler.add("stopper", () -> stopRandomInstance(true));
      }
      scheduler.add("late", this::applyLateWrites);
      if (faults.restores()) {
        scheduler.add("restorer", this::restorePlatform);
      }
      scheduler.runAll();
    }

    private final Map<String, String> keys = new HashMap<>();

    private String issueKey(Instance issuer, String operation) {
      return keys.computeIfAbsent(operation, o -> issuer.issuer.issue());
    }

    /** Runs one caller behind a load balancer that sends abandoned requests to another instance. */
    private void call(String operation, String key) {
      for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
        Reply reply = sendCopy(operation, key, attempt, scheduler.random().nextInt(30));
        if (reply == null) {
          reply = sendCopy(operation, key, attempt, Integer.MAX_VALUE);
        }
        if (reply != null) {
          reported.add(new ReportedOutcome(operation, attempt, reply.outcome()));
          if (reply.outcome() == Outcome.EXECUTED) {
            return;
          }
        }
      }
    }

    /** Sends one copy of a request; null if there was no reply or the balancer abandoned it. */
    private Reply sendCopy(String operation, String key, int attempt, int maxSteps) {
      Instance instance = instances.get(scheduler.random().nextInt(instances.size()));
      scheduler.step();
      return instance.alive && instance.accepting
          ? serve(instance, request(operation, key, attempt), maxSteps)
          : null;
    }

    /**
     * Serves in a task that is killed with the instance; null if it was killed or ran out of steps.
     */
    private Reply serve(Instance instance, InboundRequest request, int maxSteps) {
      CompletableFuture<Reply> answer = new CompletableFuture<>();
      instance.activeRequests++;
      scheduler.add(
          instance.member.incarnation(),
          () -> {
            try {
              answer.complete(instance.executor.serve(request));
            } finally {
              instance.activeRequests--;
              answer.completeExceptionally(new StepScheduler.KilledException());
            }
          });
      for (int i = 0; i < maxSteps && !answer.isDone() && instance.alive; i++) {
        scheduler.step();
      }
      return answer.isDone() && !answer.isCompletedExceptionally() ? answer.join() : null;
    }

    private Reply execute(InboundRequest request) {
      scheduler.step();
      if (scheduler.random().nextInt(5) == 0) {
        return Reply.local(503, Outcome.NOT_EXECUTED, "refused", 1);
      }
      executions.merge(request.id(), 1, Integer::sum);
      executedAttempts.put(request.id(), request.attempt().number());
      scheduler.step();
      boolean lost = faults.answersLost() && scheduler.random().nextInt(3) == 0;
      return lost
          ? Reply.local(504, Outcome.UNKNOWN, "lost", 0)
          : new Reply(200, List.of(), new Reply.Body.Buffered(new byte[] {1}), Outcome.EXECUTED);
    }

    private KeyClaims claims() {
      ClaimBatcher batcher = new ClaimBatcher(platform, clock.clocks());
      return new KeyClaims() {
        @Override
        public ClaimResult claim(Claim claim, int windowMillis, long waitNanos) {
          scheduler.step();
          if (ignoreClaims) {
            return new ClaimResult(ClaimResult.Status.GRANTED, claim.incarnation(), "", 0);
          }
          if (faults.claimFaults()) {
            platform.queueRandomFault(scheduler.random());
          }
          if (faults.restores()) {
            batcher.repeatClaims();
          }
          CompletableFuture<ClaimResult> result = batcher.add(claim);
          batcher.flush();
          scheduler.step();
          return result.join();
        }

        @Override
        public Optional<String> holder(String key) {
          return Optional.empty();
        }

        @Override
        public OptionalLong retryAfterSeconds(long retentionSeconds) {
          return batcher.retryAfterSeconds(retentionSeconds);
        }
      };
    }

    private AttemptResult forward(InboundRequest request, Member holder) {
      scheduler.step();
      Instance instance = instances.get(holder.peerPort() - 3);
      if (!instance.alive || !instance.accepting) {
        return new AttemptResult.NotSent("gone");
      }
      List<Field> fields = List.of(new Field(HolderForwarder.HOP_HEADER, "1"));
      Reply reply = serve(instance, withFields(request, fields), Integer.MAX_VALUE);
      return reply == null ? new AttemptResult.Broken("killed") : new AttemptResult.Answered(reply);
    }

    private KeyOutcome await(CompletableFuture<KeyOutcome> run, Deadline deadline) {
      for (int i = 0; i < 20 && !run.isDone(); i++) {
        scheduler.step();
      }
      return run.getNow(new KeyOutcome.Running());
    }

    private void stopRandomInstance(boolean graceful) {
      for (int i = 0; i < scheduler.random().nextInt(12); i++) {
        scheduler.step();
      }
      Instance instance = instances.get(scheduler.random().nextInt(instances.size()));
      if (!graceful) {
        instance.alive = false;
        scheduler.kill(instance.member.incarnation());
        return;
      }
      instance.accepting = false;
      for (int i = 0; i < 400 && instance.activeRequests > 0; i++) {
        scheduler.step();
      }
      if (instance.activeRequests == 0 && instance.alive) {
        instance.alive = false;
        close(instance);
      }
    }

    private void close(Instance instance) {
      try {
        instance.records.close(instance.ledger);
      } catch (PlatformException e) {
        throw new IllegalStateException(e);
      }
      clock.advance(Duration.ofSeconds(3));
    }

    /** Restores the platform twice, each time from a copy that lacks up to 60 steps. */
    private void restorePlatform() {
      for (int restores = 0; restores < 2; restores++) {
        for (int i = scheduler.random().nextInt(20); i > 0; i--) {
          scheduler.step();
        }
        Runnable restore = platform.copy();
        for (int i = scheduler.random().nextInt(60); i > 0; i--) {
          scheduler.step();
        }
        restore.run();
      }
    }

    private void applyLateWrites() {
      for (int i = 0; i < 6; i++) {
        scheduler.step();
        platform.applyDelayedWrites();
      }
    }

    private InboundRequest request(String operation, String key, int attempt) {
      return new InboundRequest(
          operation,
          "POST",
          "/booking/book",
          List.of(),
          new InboundRequest.Body.Buffered(operation.getBytes(StandardCharsets.UTF_8)),
          service,
          Declarations.BOOK,
          new Deadline(Long.MAX_VALUE / 2),
          new InboundRequest.Attempt(attempt, true, ""),
          Optional.of(key),
          "10.0.0.1");
    }

    private static InboundRequest withFields(InboundRequest request, List<Field> fields) {
      return new InboundRequest(
          request.id(),
          request.method(),
          request.target(),
          fields,
          request.body(),
          request.service(),
          request.kind(),
          request.deadline(),
          request.attempt(),
          request.key(),
          request.caller());
    }

    void check(String context) {
      executions.forEach((operation, count) -> assertEquals(count.intValue(), 1, context));
      for (ReportedOutcome outcome : reported) {
        Integer executed = executedAttempts.get(outcome.operation());
        if (outcome.outcome() == Outcome.EXECUTED) {
          assertTrue(executed != null, context + ": reported as executed, but was not executed");
        }
        if (outcome.outcome() == Outcome.NOT_EXECUTED && executed != null) {
          assertTrue(
              executed > outcome.attempt(),
              context + ": reported as not executed, but was executed");
        }
      }
    }
  }

  /** The outcome that was reported to a caller for one of its attempts. */
  private record ReportedOutcome(String operation, int attempt, Outcome outcome) {}
}
