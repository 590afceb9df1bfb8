package org.magnoliaswitch.core.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliaswitch.core.clock.HybridClock;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.MemberState;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.KeyClaims;
import org.magnoliaswitch.core.process.KeyIssuer;
import org.magnoliaswitch.core.process.Membership;
import org.magnoliaswitch.core.process.OutcomeLedger;
import org.magnoliaswitch.core.process.OutcomeRecords;
import org.magnoliaswitch.core.process.ServiceRegistry;
import org.magnoliaswitch.core.process.Timeline;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.FakePlatform;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.version.SnapshotParser;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the replies to requests whose key cannot be claimed. */
public final class AtMostOnceExecutorTest {
  private final ManualClock clock = new ManualClock();
  private Timeline timeline = new Timeline("t", new HybridClock(clock), 10);

  @BeforeMethod
  public void setUp() {
    timeline = new Timeline("t", new HybridClock(clock), 10);
  }

  /** Guards against callers that return each second while their key is held back for a day. */
  @Test
  public void heldBackRequestIsToldWhenToReturn() throws Exception {
    Reply reply = serve(OptionalLong.of(40));
    assertEquals(reply.status(), 503);
    assertEquals(reply.outcome(), Outcome.UNKNOWN);
    assertTrue(reply.fields().contains(new Field("Retry-After", "40")), reply.toString());
    assertTrue(reply.fields().contains(new Field("Attempt-Outcome", "not-executed")));
    assertTrue(
        timeline.events().stream()
            .anyMatch(
                e -> e.kind() == EventKind.CLAIM_FAILED && e.detail().equals("reason=restored")));
  }

  /** Guards against a long wait where the table is only out for a moment. */
  @Test
  public void requestWithoutAnswerOfTheTableReturnsSoon() throws Exception {
    Reply reply = serve(OptionalLong.empty());
    assertTrue(reply.fields().contains(new Field("Retry-After", "1")), reply.toString());
    assertTrue(timeline.events().stream().noneMatch(e -> e.kind() == EventKind.CLAIM_FAILED));
  }

  private Reply serve(OptionalLong retryAfterSeconds) throws Exception {
    Member self = new Member("inc", "entry", "dc", "h", 1, 2, 3, 1, MemberState.SERVING);
    Membership membership = new Membership(self, clock.clocks());
    PeerSecret secret = new PeerSecret("0123456789abcdef".getBytes(StandardCharsets.US_ASCII));
    AtMostOnceExecutor.Dependencies dependencies =
        new AtMostOnceExecutor.Dependencies(
            new KeyIssuer("inc", secret, clock.clocks()),
            new OutcomeLedger(clock.clocks()),
            new UnavailableClaims(retryAfterSeconds),
            new OutcomeRecords(new FakePlatform(), "inc", clock.clocks()),
            membership,
            (request, member) -> new AttemptResult.NotSent("gone"),
            (run, deadline) -> run.join());
    ServiceRegistry registry = new ServiceRegistry(membership, clock.clocks());
    registry.apply(
        SnapshotParser.parse(
            1, "d", Declarations.parts(Declarations.profile(), Declarations.service(1))));
    InboundRequest request =
        new InboundRequest(
            "r",
            "POST",
            "/booking/book",
            List.of(),
            new InboundRequest.Body.Buffered(new byte[] {1}),
            registry.state().services().get("booking"),
            Declarations.BOOK,
            new Deadline(Long.MAX_VALUE / 2),
            new InboundRequest.Attempt(1, true, ""),
            Optional.of("own"),
            "10.0.0.1");
    return new AtMostOnceExecutor(
            dependencies,
            executed -> {
              throw new AssertionError("executed without a claim");
            },
            true,
            clock.clocks(),
            timeline)
        .serve(request);
  }

  private record UnavailableClaims(OptionalLong retryAfter) implements KeyClaims {
    @Override
    public ClaimResult claim(Claim claim, int windowMillis, long waitNanos) {
      return ClaimResult.NO_ANSWER;
    }

    @Override
    public Optional<String> holder(String key) {
      return Optional.empty();
    }

    @Override
    public OptionalLong retryAfterSeconds(long retentionSeconds) {
      return retryAfter;
    }
  }
}
