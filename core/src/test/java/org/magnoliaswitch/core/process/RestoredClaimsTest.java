package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;
import org.magnoliaswitch.core.peer.ClaimResult.Status;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.testing.FakePlatform;
import org.magnoliaswitch.core.testing.FakePlatform.Fault;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.testing.RestoringTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests who may execute a key after the platform was restored from a copy without its claim. */
public final class RestoredClaimsTest {
  private static final long RETENTION_SECONDS = 3_600;

  private final ManualClock clock = new ManualClock();
  private FakePlatform platform = new FakePlatform();
  private Instance a = new Instance("a");
  private Instance b = new Instance("b");

  /** An instance that claims keys for itself. */
  private final class Instance {
    private final String incarnation;
    private final RestoringTable table = new RestoringTable(platform);
    private final ClaimBatcher batcher = new ClaimBatcher(table, clock.clocks());

    private Instance(String incarnation) {
      this.incarnation = incarnation;
    }

    private ClaimResult claim(String key, long replacesRow) {
      CompletableFuture<ClaimResult> result =
          batcher.add(new Claim(key, incarnation, "f", replacesRow, RETENTION_SECONDS));
      batcher.flush();
      return result.join();
    }

    private Status claim(String key) {
      return claim(key, 0).status();
    }
  }

  @BeforeMethod
  public void setUp() {
    platform = new FakePlatform();
    a = new Instance("a");
    b = new Instance("b");
  }

  /** Guards against a hold that keeps the holder itself from its key. */
  @Test
  public void holderIsGrantedItsKeyAgain() {
    Runnable restore = platform.copy();
    assertEquals(a.claim("k"), Status.GRANTED);
    restore.run();
    assertEquals(a.claim("k"), Status.GRANTED);
    assertEquals(b.claim("k", 0).holder(), "a");
  }

  /** Guards against requests that are refused although their holder is alive. */
  @Test
  public void repeatedClaimRefersOthersToItsHolder() {
    Runnable restore = platform.copy();
    assertEquals(a.claim("k"), Status.GRANTED);
    restore.run();
    learnEpoch(a);
    a.batcher.repeatClaims();
    ClaimResult result = b.claim("k", 0);
    assertEquals(result.status(), Status.HELD);
    assertEquals(result.holder(), "a");
  }

  /** Guards against claims that stay lost since the table was out when they were to be repeated. */
  @Test
  public void claimsAreRepeatedOnceTableIsBack() {
    Runnable restore = platform.copy();
    assertEquals(a.claim("k"), Status.GRANTED);
    restore.run();
    learnEpoch(a);
    platform.setUnavailable(true);
    a.batcher.repeatClaims();
    platform.setUnavailable(false);
    platform.queueFaults(Fault.NONE, Fault.DROPPED);
    a.batcher.repeatClaims();
    a.batcher.repeatClaims();
    assertEquals(b.claim("k", 0).holder(), "a");
  }

  /** Guards against claims of a part of the keys only, where there are more than a batch holds. */
  @Test
  public void allRememberedClaimsAreRepeated() {
    Runnable restore = platform.copy();
    int claims = 7 * ClaimBatcher.MAX_BATCH;
    for (int i = 0; i < claims; i++) {
      assertEquals(a.claim("k" + i), Status.GRANTED);
    }
    restore.run();
    learnEpoch(a);
    a.batcher.repeatClaims();
    a.batcher.repeatClaims();
    for (int i = 0; i < claims; i++) {
      assertEquals(b.claim("k" + i, 0).holder(), "a");
    }
  }

  /** Guards against a second execution of what an instance executed that has ended since. */
  @Test
  public void keyOfEndedInstanceIsHeldBackUntilItsClaimWouldHaveExpired() {
    Runnable restore = platform.copy();
    assertEquals(a.claim("k"), Status.GRANTED);
    restore.run();
    assertEquals(b.claim("k"), Status.UNAVAILABLE);
    platform.expireRows(RETENTION_SECONDS - 1);
    clock.advance(Duration.ofSeconds(RETENTION_SECONDS - 1));
    assertEquals(b.claim("k"), Status.UNAVAILABLE);
    platform.expireRows(RETENTION_SECONDS);
    clock.advance(Duration.ofSeconds(11));
    assertEquals(b.claim("k"), Status.GRANTED);
  }

  /** Guards against a hold that begins anew with each instance that starts. */
  @Test
  public void instanceStartedAfterTheHoldIsNotHeldBack() {
    platform.copy().run();
    assertEquals(a.claim("k"), Status.UNAVAILABLE);
    platform.expireRows(RETENTION_SECONDS);
    assertEquals(new Instance("c").claim("k"), Status.GRANTED);
  }

  /** Guards against a grant by an instance that starts during the hold. */
  @Test
  public void instanceStartedDuringTheHoldHoldsBackAsWell() {
    platform.copy().run();
    assertEquals(a.claim("k"), Status.UNAVAILABLE);
    assertEquals(new Instance("c").claim("k"), Status.UNAVAILABLE);
  }

  /** Guards against a grant by a claim whose row the restore removed before the response. */
  @Test
  public void claimRestoredAwayBeforeItsResponseIsNotGranted() {
    Runnable restore = platform.copy();
    assertEquals(b.claim("other"), Status.GRANTED);
    b.table.afterNextTransaction(restore);
    assertEquals(b.claim("k"), Status.UNAVAILABLE);
    assertEquals(b.claim("k"), Status.UNAVAILABLE);
  }

  /** Guards against a claim that was sent before the restore and takes the place of a lost one. */
  @Test
  public void claimAppliedAfterTheRestoreIsNotGranted() {
    assertEquals(b.claim("other"), Status.GRANTED);
    Runnable restore = platform.copy();
    assertEquals(a.claim("k"), Status.GRANTED);
    b.table.beforeNextTransaction(restore);
    assertEquals(b.claim("k"), Status.UNAVAILABLE);
    assertEquals(b.claim("k"), Status.UNAVAILABLE);
    assertEquals(a.claim("k", 0).holder(), "b");
  }

  /** Guards against the same claim if the platform applies it later and its answer was lost. */
  @Test
  public void delayedClaimAppliedAfterTheRestoreIsNotGranted() {
    assertEquals(b.claim("other"), Status.GRANTED);
    Runnable restore = platform.copy();
    platform.queueFaults(Fault.DELAYED);
    assertEquals(b.claim("k"), Status.UNAVAILABLE);
    assertEquals(a.claim("k"), Status.GRANTED);
    restore.run();
    platform.applyDelayedWrites();
    assertEquals(b.claim("k"), Status.UNAVAILABLE);
  }

  /** Guards against a hold that the previous restore has already used up. */
  @Test
  public void eachRestoreBeginsTheHoldAnew() {
    platform.copy().run();
    assertEquals(a.claim("k"), Status.UNAVAILABLE);
    platform.expireRows(RETENTION_SECONDS);
    clock.advance(Duration.ofSeconds(11));
    Runnable restore = platform.copy();
    assertEquals(a.claim("k"), Status.GRANTED);
    restore.run();
    assertEquals(b.claim("k"), Status.UNAVAILABLE);
    assertEquals(b.claim("other"), Status.UNAVAILABLE);
  }

  /** Guards against claims that only the first of several restores makes their holder repeat. */
  @Test
  public void claimsAreRepeatedAfterEachRestore() {
    Runnable restore = platform.copy();
    assertEquals(a.claim("k"), Status.GRANTED);
    for (int restores = 0; restores < 3; restores++) {
      restore.run();
      learnEpoch(a);
      a.batcher.repeatClaims();
      assertEquals(new Instance("c" + restores).claim("k", 0).holder(), "a");
    }
  }

  /** Guards against two takeovers of one row, of which the copy lacks the first. */
  @Test
  public void lostTakeoverIsNotRepeatedByAnother() {
    assertEquals(a.claim("k"), Status.GRANTED);
    long row = b.claim("k", 0).row();
    Runnable restore = platform.copy();
    assertEquals(b.claim("k", row).status(), Status.GRANTED);
    restore.run();
    Instance c = new Instance("c");
    assertEquals(c.claim("k", 0).holder(), "a");
    assertEquals(c.claim("k", row).status(), Status.UNAVAILABLE);
  }

  /** Guards against a claim that is remembered for longer than the table kept it. */
  @Test
  public void expiredClaimIsNeitherRepeatedNorGrantedFromMemory() {
    Runnable restore = platform.copy();
    assertEquals(a.claim("k"), Status.GRANTED);
    clock.advance(Duration.ofSeconds(RETENTION_SECONDS));
    platform.expireRows(RETENTION_SECONDS);
    assertEquals(b.claim("k"), Status.GRANTED);
    restore.run();
    assertEquals(a.claim("k"), Status.UNAVAILABLE);
  }

  /** Guards against a takeover of what was executed, where the copy lacks its record. */
  @Test
  public void keyWithLostRecordDoesNotCountAsUnexecuted() throws PlatformException {
    OutcomeLedger ledger = new OutcomeLedger(clock.clocks());
    OutcomeRecords records = new OutcomeRecords(platform, "a", clock.clocks());
    Runnable restore = platform.copy();
    execute(ledger, "k");
    records.flush(ledger);
    restore.run();
    execute(ledger, "later");
    records.close(ledger);
    OutcomeRecords.Lookup lookup =
        new OutcomeRecords(platform, "b", clock.clocks()).lookup("a", "k");
    assertEquals(lookup, new OutcomeRecords.Lookup(Optional.empty(), false));
  }

  /** Guards against orderly stops that no longer count as such. */
  @Test
  public void recordsAreCompleteWithAllSegments() throws PlatformException {
    OutcomeLedger ledger = new OutcomeLedger(clock.clocks());
    OutcomeRecords records = new OutcomeRecords(platform, "a", clock.clocks());
    execute(ledger, "k");
    records.flush(ledger);
    records.close(ledger);
    OutcomeRecords reader = new OutcomeRecords(platform, "b", clock.clocks());
    assertTrue(reader.lookup("a", "other").complete());
    assertFalse(reader.lookup("a", "k").finished().isEmpty());
  }

  /** Guards against final segments of earlier releases that cannot be read. */
  @Test
  public void finalSegmentOfEarlierReleaseIsRead() throws PlatformException {
    platform.put("outcomes/a/last", "[]".getBytes(StandardCharsets.US_ASCII));
    assertTrue(new OutcomeRecords(platform, "b", clock.clocks()).lookup("a", "k").complete());
  }

  private static void execute(OutcomeLedger ledger, String key) {
    ledger.begin(key, "f", RETENTION_SECONDS, 1);
    ledger.finish(key, new KeyOutcome.Unknown());
  }

  /** Lets an instance receive a response, as its polling of the configuration does. */
  private static void learnEpoch(Instance instance) {
    instance.batcher.holder("none");
  }
}
