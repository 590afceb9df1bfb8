package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** How long requests wait for room. */
public final class WaitLimitTest {
  @Test
  public void aRequestInTimeWaitsWhileItCanStillBeInTime() {
    assertEquals(WaitLimit.nanos(Timeliness.IN_TIME, 100, 800, 100_000), 670.0);
    assertEquals(WaitLimit.nanos(Timeliness.IN_TIME, 700, 800, 100_000), 100.0);
  }

  /**
   * A caller that came back late would be refused again and again; it waits for what others leave.
   */
  @Test
  public void aLateRequestWaitsLongerThanOneInTime() {
    assertTrue(
        WaitLimit.nanos(Timeliness.LATE, 100, 300, 2_000)
            > WaitLimit.nanos(Timeliness.IN_TIME, 100, 300, 2_000));
  }

  @Test
  public void aLateRequestNeverWaitsMostOfItsTime() {
    assertTrue(WaitLimit.nanos(Timeliness.LATE, 100, 300, 2_000) <= 500);
  }
}
