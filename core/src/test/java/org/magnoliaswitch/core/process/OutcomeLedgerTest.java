package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.magnoliaswitch.core.testing.FakePlatform;
import org.magnoliaswitch.core.testing.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the keys of one incarnation, in memory and in records. */
public final class OutcomeLedgerTest {
  private static final KeyOutcome EXECUTED = new KeyOutcome.Executed(Optional.empty());

  private ManualClock time = new ManualClock();
  private OutcomeLedger ledger = new OutcomeLedger(time.clocks());

  @BeforeMethod
  public void setUp() {
    time = new ManualClock();
    ledger = new OutcomeLedger(time.clocks());
  }

  @Test
  public void executesAKeyOnce() {
    assertTrue(begin("k", "f") instanceof OutcomeLedger.Admission.Execute);
    assertTrue(begin("k", "f") instanceof OutcomeLedger.Admission.Join);
    ledger.finish("k", EXECUTED);
    assertEquals(begin("k", "f"), new OutcomeLedger.Admission.Known(EXECUTED));
  }

  @Test
  public void rejectsAnotherRequestUnderTheSameKey() {
    begin("k", "f");
    assertTrue(begin("k", "g") instanceof OutcomeLedger.Admission.Mismatch);
  }

  @Test
  public void aRejectedRequestDoesNotUseUpItsKey() {
    begin("k", "f");
    ledger.finish("k", new KeyOutcome.NotExecuted(1));
    assertTrue(ledger.begin("k", "f", 60, 2) instanceof OutcomeLedger.Admission.Execute);
  }

  /**
   * The balancer sent an attempt twice. The first copy was rejected and the caller received that
   * answer; executing the second copy now would make the answer false.
   */
  @Test
  public void anotherCopyOfARejectedAttemptDoesNotRun() {
    begin("k", "f");
    ledger.finish("k", new KeyOutcome.NotExecuted(1));
    assertTrue(begin("k", "f") instanceof OutcomeLedger.Admission.Known);
  }

  @Test
  public void neverRepeatsWhatMayHaveBeenExecuted() {
    begin("k", "f");
    ledger.finish("k", new KeyOutcome.Unknown());
    assertTrue(begin("k", "f") instanceof OutcomeLedger.Admission.Known);
  }

  @Test
  public void removesFinishedKeysOnlyAfterRetention() {
    begin("done", "f");
    begin("running", "f");
    ledger.finish("done", EXECUTED);
    time.advance(Duration.ofSeconds(59));
    ledger.expire();
    assertEquals(ledger.size(), 2);
    time.advance(Duration.ofSeconds(2));
    ledger.expire();
    assertEquals(ledger.size(), 1);
  }

  /** Another instance reads the records of an incarnation that is gone. */
  @Test
  public void recordsContainOutcomesAndWhetherTheyAreComplete() throws Exception {
    FakePlatform platform = new FakePlatform();
    OutcomeRecords gone = new OutcomeRecords(platform, "gone", time.clocks());
    OutcomeRecords survivor = new OutcomeRecords(platform, "survivor", time.clocks());
    begin("k", "f");
    ledger.finish("k", EXECUTED);
    gone.flush(ledger);
    assertEquals(survivor.lookup("gone", "k").finished().orElseThrow().outcome(), EXECUTED);
    assertEquals(survivor.lookup("gone", "other").complete(), false);
    gone.close(ledger);
    time.advance(Duration.ofSeconds(3));
    assertEquals(survivor.lookup("gone", "other").complete(), true);
  }

  @Test
  public void outcomesThatCouldNotBeRecordedAreRecordedLater() throws Exception {
    FakePlatform platform = new FakePlatform();
    OutcomeRecords records = new OutcomeRecords(platform, "i", time.clocks());
    begin("k", "f");
    ledger.finish("k", EXECUTED);
    platform.setUnavailable(true);
    org.testng.Assert.assertThrows(
        org.magnoliaswitch.core.platform.PlatformException.class, () -> records.flush(ledger));
    platform.setUnavailable(false);
    assertEquals(records.flush(ledger), 1);
  }

  private OutcomeLedger.Admission begin(String key, String fingerprint) {
    return ledger.begin(key, fingerprint, 60, 1);
  }
}
