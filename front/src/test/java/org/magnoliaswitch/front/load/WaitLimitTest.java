package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests how long requests wait for capacity. */
public final class WaitLimitTest {
  @Test
  public void aTimelyRequestWaitsWhileItCanBeAnsweredInTime() {
    assertEquals(WaitLimit.nanos(Timeliness.IN_TIME, 100, 800, 100_000), 670.0);
    assertEquals(WaitLimit.nanos(Timeliness.IN_TIME, 700, 800, 100_000), 100.0);
  }

  /**
   * Guards against refusing a late caller again and again; its request waits for spare capacity
   * instead.
   */
  @Test
  public void aLateRequestWaitsLongerThanATimelyOne() {
    assertTrue(
        WaitLimit.nanos(Timeliness.LATE, 100, 300, 2_000)
            > WaitLimit.nanos(Timeliness.IN_TIME, 100, 300, 2_000));
  }

  @Test
  public void aLateRequestWaitsForAFractionOfItsTimeout() {
    assertTrue(WaitLimit.nanos(Timeliness.LATE, 100, 300, 2_000) <= 500);
  }
}
