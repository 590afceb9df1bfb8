package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.OperatorState;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.RouteTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which reads confirm the configuration after the store was restored from a copy. */
public final class RestoredSourceCheckTest {
  private static final long REVOCATION_NANOS = TimeUnit.SECONDS.toNanos(5);

  private ManualClock clock = new ManualClock();
  private ConfigurationConfirmation confirmation =
      new ConfigurationConfirmation(clock.withWallClock());
  private RestoredSourceCheck check = new RestoredSourceCheck(confirmation, REVOCATION_NANOS);

  @BeforeMethod
  public void start() {
    clock = new ManualClock();
    confirmation = new ConfigurationConfirmation(clock.withWallClock());
    check = new RestoredSourceCheck(confirmation, REVOCATION_NANOS);
  }

  private void read(long epoch, long version) {
    RouteTable routes =
        version == 0
            ? RouteTable.EMPTY
            : new RouteTable(version, List.of(), List.of(), CallerLimits.DEFAULT);
    check.read(
        new OperatorState(routes, new Evacuations(Revision.of(epoch, 1), Set.of())),
        confirmation.now());
  }

  private boolean confirms(long versionInForce) {
    return check.confirms(versionInForce, confirmation.now());
  }

  /** Guards against refusing at each start although the store was never restored. */
  @Test
  public void readOfAStoreThatWasNeverRestoredConfirms() {
    read(0, 7);
    assertTrue(confirms(7));
  }

  /**
   * Guards against keys that a lost version has revoked: an instance that starts after a restore
   * cannot know that version, and the copy lists the keys as valid.
   */
  @Test
  public void instanceThatStartsAfterARestoreWaitsForTheRevocationTime() {
    read(1, 7);
    assertFalse(confirms(7));
    clock.advance(REVOCATION_NANOS - 1);
    read(1, 7);
    assertFalse(confirms(7));
    clock.advance(1);
    assertTrue(confirms(7));
  }

  /** Guards against waiting although a peer that ran before the restore has confirmed. */
  @Test
  public void confirmationOfAPeerEndsTheWait() {
    read(1, 7);
    confirmation.confirmed(confirmation.now());
    assertTrue(confirms(7));
  }

  /** Guards against confirming a version in force by a copy that lacks it. */
  @Test
  public void restoredEarlierVersionDoesNotConfirmTheOneInForce() {
    read(0, 9);
    confirmation.confirmed(confirmation.now());
    read(1, 7);
    assertFalse(confirms(9));
    read(1, 9);
    assertTrue(confirms(9));
  }

  /** Guards against an answer without a configuration that stands for the one read before. */
  @Test
  public void restoredStoreWithoutAConfigurationDoesNotConfirm() {
    read(0, 9);
    confirmation.confirmed(confirmation.now());
    read(1, 0);
    assertFalse(confirms(9));
  }

  /** Guards against a second restore that counts from the first. */
  @Test
  public void eachRestoreStartsTheWaitAgain() {
    read(1, 7);
    clock.advance(REVOCATION_NANOS);
    assertTrue(confirms(7));
    read(2, 6);
    assertFalse(confirms(7));
  }

  /** Guards against a wait that a suspension of the machine makes longer than needed. */
  @Test
  public void suspensionCountsAsWaiting() {
    read(1, 7);
    clock.advanceWallClock(5_000);
    assertTrue(confirms(7));
  }
}
