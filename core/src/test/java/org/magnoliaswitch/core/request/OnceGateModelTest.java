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
 * Model check of at-most-once execution: three instances, callers that retry, and every step
 * between them interleaved by a seed, while claims fail in every way and instances are killed or
 * stopped.
 */
public final class OnceGateModelTest {
  private static final int INTERLEAVINGS = 2_000;
  private static final int CALLERS = 4;
  private static final int TRIES = 4;

  /**
   * What goes wrong in a case.
   *
   * @param tableFaults whether transactions are dropped, land late or lose their answers
   * @param kills whether instances are killed in the middle of work
   * @param stops whether an instance stops in order
   * @param answersLost whether backend servers' answers are lost after execution
   */
  private record Faults(boolean tableFaults, boolean kills, boolean stops, boolean answersLost) {}

  @DataProvider
  public static Object[][] cases() {
    List<Object[]> cases = new ArrayList<>();
    for (int bits = 0; bits < 16; bits++) {
      for (boolean issued : new boolean[] {false, true}) {
        cases.add(
            new Object[] {
              new Faults((bits & 1) > 0, (bits & 2) > 0, (bits & 4) > 0, (bits & 8) > 0), issued
            });
      }
    }
    return cases.toArray(new Object[0][]);
  }

  @Test(dataProvider = "cases")
  public void executesAtMostOnceAndTellsTheTruth(Object faults, boolean issuedKeys)
      throws Exception {
    for (int seed = 1; seed <= INTERLEAVINGS / 8; seed++) {
      World world = new World(seed, (Faults) faults, issuedKeys);
      world.run();
      world.check("faults " + faults + " issued " + issuedKeys + " seed " + seed);
    }
  }

  /** The check itself must be able to fail: without claims the model finds double executions. */
  @Test
  public void findsDoubleExecutionsWhenClaimsAreIgnored() throws Exception {
    int doubled = 0;
    for (int seed = 1; seed <= 50; seed++) {
      World world = new World(seed, new Faults(false, false, false, true), false);
      world.ignoreClaims = true;
      world.run();
      doubled += world.executions.values().stream().anyMatch(count -> count > 1) ? 1 : 0;
    }
    assertTrue(doubled > 0, "no double execution in 50 interleavings");
  }

  private static final class Node {
    private final Member member;
    private final OutcomeLedger ledger;
    private final KeyIssuer issuer;
    private final OutcomeRecords records;
    private final OnceGate gate;
    private boolean alive = true;
    private boolean accepting = true;
    private int atWork;

    Node(World world, int number) {
      this.member =
          new Member(
              "inc" + number,
              "entry-" + number,
              "dc",
              "h",
              1,
              2,
              3 + number,
              1,
              MemberState.SERVING);
      this.ledger = new OutcomeLedger(world.time.clocks());
      this.issuer = new KeyIssuer(member.incarnation(), world.secret, world.time.clocks());
      this.records = new OutcomeRecords(world.platform, member.incarnation(), world.time.clocks());
      Membership membership = new Membership(member, world.time.clocks());
      for (int other = 0; other < 3; other++) {
        membership.merge(
            new Member(
                "inc" + other,
                "entry-" + other,
                "dc",
                "h",
                1,
                2,
                3 + other,
                1,
                MemberState.SERVING));
      }
      OnceGate.Parts parts =
          new OnceGate.Parts(
              issuer, ledger, world.claims(), records, membership, world::forward, world::await);
      Timeline timeline = new Timeline("t", new HybridClock(world.time), 10);
      this.gate = new OnceGate(parts, world::execute, true, world.time.clocks(), timeline);
    }
  }

  private static final class World {
    private final ManualClock time = new ManualClock();
    private final FakePlatform platform = new FakePlatform();
    private final PeerSecret secret =
        new PeerSecret("0123456789abcdef".getBytes(StandardCharsets.US_ASCII));
    private final StepScheduler scheduler;
    private final Faults faults;
    private final boolean issuedKeys;
    private final List<Node> nodes = new ArrayList<>();
    private final ServiceState service;
    private final Map<String, Integer> executions = new HashMap<>();
    private final Map<String, Integer> executedAttempts = new HashMap<>();
    private final List<Told> told = new ArrayList<>();
    private boolean ignoreClaims;

    World(long seed, Faults faults, boolean issuedKeys) throws Exception {
      this.scheduler = new StepScheduler(seed);
      this.faults = faults;
      this.issuedKeys = issuedKeys;
      for (int i = 0; i < 3; i++) {
        nodes.add(new Node(this, i));
      }
      ServiceRegistry registry =
          new ServiceRegistry(new Membership(nodes.get(0).member, time.clocks()), time.clocks());
      registry.apply(
          SnapshotParser.parse(
              1, "d", Declarations.parts(Declarations.profile(), Declarations.service(1))));
      this.service = registry.state().services().get("booking");
    }

    void run() {
      for (int caller = 0; caller < CALLERS; caller++) {
        String operation = "op" + caller;
        Node issuer = nodes.get(caller % nodes.size());
        String key = issuedKeys ? keyOf(issuer, operation) : "own-" + operation;
        scheduler.add("caller", () -> call(operation, key));
      }
      if (faults.kills()) {
        scheduler.add("killer", () -> endOne(false));
      }
      if (faults.stops()) {
        scheduler.add("stopper", () -> endOne(true));
      }
      scheduler.add("late", this::landLate);
      scheduler.runAll();
    }

    private final Map<String, String> keys = new HashMap<>();

    private String keyOf(Node issuer, String operation) {
      return keys.computeIfAbsent(operation, o -> issuer.issuer.issue());
    }

    /** One caller behind a balancer that gives up on some requests and sends them elsewhere. */
    private void call(String operation, String key) {
      for (int attempt = 1; attempt <= TRIES; attempt++) {
        Reply reply = copy(operation, key, attempt, scheduler.random().nextInt(30));
        if (reply == null) {
          reply = copy(operation, key, attempt, Integer.MAX_VALUE);
        }
        if (reply != null) {
          told.add(new Told(operation, attempt, reply.outcome()));
          if (reply.outcome() == Outcome.EXECUTED) {
            return;
          }
        }
      }
    }

    /** Sends one copy of a request; null when it gave none or the balancer gave it up. */
    private Reply copy(String operation, String key, int attempt, int patience) {
      Node node = nodes.get(scheduler.random().nextInt(nodes.size()));
      scheduler.step();
      return node.alive && node.accepting
          ? serve(node, request(operation, key, attempt), patience)
          : null;
    }

    /** Serves in a task of the node, so that killing the node kills it; null when it was killed. */
    private Reply serve(Node node, InboundRequest request, int patience) {
      CompletableFuture<Reply> answer = new CompletableFuture<>();
      node.atWork++;
      scheduler.add(
          node.member.incarnation(),
          () -> {
            try {
              answer.complete(node.gate.serve(request));
            } finally {
              node.atWork--;
              answer.completeExceptionally(new StepScheduler.KilledException());
            }
          });
      for (int i = 0; i < patience && !answer.isDone() && node.alive; i++) {
        scheduler.step();
      }
      return answer.isDone() && !answer.isCompletedExceptionally() ? answer.join() : null;
    }

    private Reply execute(InboundRequest request) {
      scheduler.step();
      if (scheduler.random().nextInt(5) == 0) {
        return Reply.own(503, Outcome.NOT_EXECUTED, "refused", 1);
      }
      executions.merge(request.id(), 1, Integer::sum);
      executedAttempts.put(request.id(), request.attempt().number());
      scheduler.step();
      boolean lost = faults.answersLost() && scheduler.random().nextInt(3) == 0;
      return lost
          ? Reply.own(504, Outcome.UNKNOWN, "lost", 0)
          : new Reply(200, List.of(), new Reply.Body.Whole(new byte[] {1}), Outcome.EXECUTED);
    }

    private KeyClaims claims() {
      return new KeyClaims() {
        @Override
        public ClaimResult claim(Claim claim, int windowMillis, long waitNanos) {
          scheduler.step();
          if (ignoreClaims) {
            return new ClaimResult(ClaimResult.Status.GRANTED, claim.incarnation(), "", 0);
          }
          if (faults.tableFaults()) {
            platform.queueRandomFault(scheduler.random());
          }
          ClaimBatcher batcher = new ClaimBatcher(platform);
          CompletableFuture<ClaimResult> result = batcher.add(claim);
          batcher.flush();
          scheduler.step();
          return result.join();
        }

        @Override
        public Optional<String> holder(String key) {
          return Optional.empty();
        }
      };
    }

    private AttemptResult forward(InboundRequest request, Member holder) {
      scheduler.step();
      Node node = nodes.get(holder.peerPort() - 3);
      if (!node.alive || !node.accepting) {
        return new AttemptResult.NotSent("gone");
      }
      List<Field> fields = List.of(new Field(HolderForwarder.HOP_HEADER, "1"));
      Reply reply = serve(node, withFields(request, fields), Integer.MAX_VALUE);
      return reply == null ? new AttemptResult.Broken("killed") : new AttemptResult.Answered(reply);
    }

    private KeyOutcome await(CompletableFuture<KeyOutcome> run, Deadline deadline) {
      for (int i = 0; i < 20 && !run.isDone(); i++) {
        scheduler.step();
      }
      return run.getNow(new KeyOutcome.Running());
    }

    private void endOne(boolean inOrder) {
      for (int i = 0; i < scheduler.random().nextInt(12); i++) {
        scheduler.step();
      }
      Node node = nodes.get(scheduler.random().nextInt(nodes.size()));
      if (!inOrder) {
        node.alive = false;
        scheduler.kill(node.member.incarnation());
        return;
      }
      node.accepting = false;
      for (int i = 0; i < 400 && node.atWork > 0; i++) {
        scheduler.step();
      }
      if (node.atWork == 0 && node.alive) {
        node.alive = false;
        close(node);
      }
    }

    private void close(Node node) {
      try {
        node.records.close(node.ledger);
      } catch (PlatformException e) {
        throw new IllegalStateException(e);
      }
      time.advance(Duration.ofSeconds(3));
    }

    private void landLate() {
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
          new InboundRequest.Body.Whole(operation.getBytes(StandardCharsets.UTF_8)),
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

    void check(String where) {
      executions.forEach((operation, count) -> assertEquals(count.intValue(), 1, where));
      for (Told one : told) {
        Integer executed = executedAttempts.get(one.operation());
        if (one.outcome() == Outcome.EXECUTED) {
          assertTrue(executed != null, where + ": told executed, but did not run");
        }
        if (one.outcome() == Outcome.NOT_EXECUTED && executed != null) {
          assertTrue(executed > one.attempt(), where + ": told not executed, but ran");
        }
      }
    }
  }

  /** What a caller was told of one of its attempts. */
  private record Told(String operation, int attempt, Outcome outcome) {}
}
