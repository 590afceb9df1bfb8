package org.magnoliaswitch.core.clock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.magnoliaswitch.core.testing.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Order of events over processes. */
public final class HybridClockTest {
  private ManualClock time = new ManualClock();
  private HybridClock clock = new HybridClock(time);

  @BeforeMethod
  public void fresh() {
    time = new ManualClock();
    clock = new HybridClock(time);
  }

  @Test
  public void risesWhileTheWallClockStands() {
    assertTrue(clock.next().compareTo(clock.next()) < 0);
  }

  @Test
  public void exceedsWhatAPeerWithAClockAheadSent() {
    HybridTimestamp ahead = new HybridTimestamp(time.millis() + 500, 7);
    clock.merge(ahead);
    assertTrue(clock.next().compareTo(ahead) > 0);
  }

  @Test
  public void isNotPushedFarAheadByAWrongClock() {
    clock.merge(new HybridTimestamp(time.millis() + Duration.ofDays(1).toMillis(), 0));
    assertEquals(clock.next().millis(), time.millis());
  }
}
