package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.testing.FakePlatform;
import org.magnoliaswitch.core.testing.FakePlatform.Fault;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.testing.RestoringTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for how long keys are held back after a restore. */
public final class ClaimHoldTest {
  private static final long MINUTE = 60;
  private static final long DAY = 86_400;
  private static final long TWO_YEARS = 2 * 365 * DAY;

  private ManualClock clock = new ManualClock();
  private FakePlatform platform = new FakePlatform();
  private ClaimHold hold = new ClaimHold(new RestoringTable(platform), clock.clocks());

  @BeforeMethod
  public void setUp() {
    clock = new ManualClock();
    platform = new FakePlatform();
    hold = new ClaimHold(new RestoringTable(platform), clock.clocks());
  }

  /** Guards against a hold on platforms that were never restored or name no epoch. */
  @Test
  public void nothingIsHeldBackInEpochZero() throws PlatformException {
    assertTrue(hold.state().permits(0));
    assertTrue(hold.state().permits(TWO_YEARS));
    assertEquals(hold.retryAfterSeconds(DAY), OptionalLong.empty());
    assertEquals(platform.transactions(), 0);
  }

  /** Guards against an instance whose first call already needs the epoch that it names. */
  @Test
  public void epochIsLearntBeforeAnythingIsPermitted() throws PlatformException {
    platform.copy().run();
    assertEquals(hold.state().epoch(), 1);
    assertFalse(hold.state().permits(MINUTE));
  }

  /** Guards against a claim that outlasts the hold of its key, and against holds without an end. */
  @Test
  public void retentionDecidesHowLongAKeyIsHeldBack() throws PlatformException {
    platform.copy().run();
    assertFalse(hold.state().permits(1));
    expire(MINUTE);
    assertTrue(hold.state().permits(MINUTE));
    assertFalse(hold.state().permits(MINUTE + 1));
    expire(DAY);
    assertTrue(hold.state().permits(DAY));
    assertFalse(hold.state().permits(DAY + 1));
  }

  /** Guards against a claim without an end, or a very long one, that is granted anew. */
  @Test
  public void longestRetentionsAreHeldBackThroughoutTheEpoch() throws PlatformException {
    platform.copy().run();
    assertFalse(hold.state().permits(TWO_YEARS));
    expire(TWO_YEARS);
    assertTrue(hold.state().permits(365 * DAY));
    assertFalse(hold.state().permits(TWO_YEARS));
    assertFalse(hold.state().permits(0));
  }

  /** Guards against a second hold for instances that notice the restore later. */
  @Test
  public void allInstancesShareOneHold() throws PlatformException {
    platform.copy().run();
    assertFalse(hold.state().permits(MINUTE));
    platform.expireRows(MINUTE);
    ClaimHold later = new ClaimHold(new RestoringTable(platform), clock.clocks());
    assertTrue(later.state().permits(MINUTE));
    assertEquals(platform.transactions(), 1);
  }

  @DataProvider
  public static Object[][] faults() {
    return new Object[][] {{Fault.DROPPED}, {Fault.ANSWER_LOST}, {Fault.DELAYED}};
  }

  /** Guards against a permission where it is unknown whether the hold has begun. */
  @Test(dataProvider = "faults")
  public void nothingIsPermittedUntilTheHoldHasBegun(Fault fault) throws PlatformException {
    platform.copy().run();
    platform.queueFaults(fault);
    assertThrows(PlatformException.class, () -> hold.state());
    assertFalse(hold.state().permits(MINUTE));
    platform.applyDelayedWrites();
    assertFalse(hold.state().permits(MINUTE));
  }

  /**
   * Guards against permissions of the epoch before, if a restore begins while the rows are read.
   */
  @Test
  public void holdOfTheEpochBeforePermitsNothing() throws PlatformException {
    platform.copy().run();
    assertFalse(hold.state().permits(MINUTE));
    expire(MINUTE);
    RestoringTable table = new RestoringTable(platform);
    ClaimHold other = new ClaimHold(table, clock.clocks());
    assertTrue(other.state().permits(MINUTE));
    platform.copy().run();
    table.read(List.of("any"));
    table.afterNextTransaction(platform.copy());
    ClaimHold.State state = other.state();
    assertEquals(state.epoch(), 3);
    assertFalse(state.permits(MINUTE));
  }

  /** Guards against callers that return every second for a day, and past the end of the hold. */
  @Test
  public void callersReturnAfterAsLongAsTheHoldHasLasted() throws PlatformException {
    platform.copy().run();
    assertFalse(hold.state().permits(DAY));
    assertEquals(hold.retryAfterSeconds(DAY), OptionalLong.of(1));
    clock.advance(Duration.ofSeconds(20));
    assertEquals(hold.retryAfterSeconds(DAY), OptionalLong.of(20));
    clock.advance(Duration.ofSeconds(DAY - 50));
    assertEquals(hold.retryAfterSeconds(DAY), OptionalLong.of(30));
    expire(DAY);
    assertTrue(hold.state().permits(DAY));
    assertEquals(hold.retryAfterSeconds(DAY), OptionalLong.empty());
  }

  /** Lets rows expire, and the time pass after which an instance reads them again. */
  private void expire(long seconds) {
    platform.expireRows(seconds);
    clock.advance(Duration.ofSeconds(11));
  }
}
