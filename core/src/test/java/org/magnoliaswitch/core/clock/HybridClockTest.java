package org.magnoliaswitch.core.clock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.magnoliaswitch.core.testing.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the order and the drift limit of hybrid timestamps. */
public final class HybridClockTest {
  private ManualClock wallClock = new ManualClock();
  private HybridClock clock = new HybridClock(wallClock);

  @BeforeMethod
  public void createClock() {
    wallClock = new ManualClock();
    clock = new HybridClock(wallClock);
  }

  @Test
  public void advancesWhileTheWallClockStandsStill() {
    assertTrue(clock.next().compareTo(clock.next()) < 0);
  }

  @Test
  public void exceedsATimestampFromAPeerWhoseClockIsAhead() {
    HybridTimestamp ahead = new HybridTimestamp(wallClock.millis() + 500, 7);
    clock.merge(ahead);
    assertTrue(clock.next().compareTo(ahead) > 0);
  }

  @Test
  public void ignoresATimestampBeyondTheDriftLimit() {
    clock.merge(new HybridTimestamp(wallClock.millis() + Duration.ofDays(1).toMillis(), 0));
    assertEquals(clock.next().millis(), wallClock.millis());
  }
}
