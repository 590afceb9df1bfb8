package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when an unanswered request is hedged. */
public final class HedgeDelayTest {
  private static long millis(double usual, long left) {
    long nanos = HedgeDelay.nanos(usual * 1e6, TimeUnit.MILLISECONDS.toNanos(left));
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  @DataProvider
  public Object[][] cases() {
    return new Object[][] {
      {120.0, 300L, 174L},
      {100.0, 1_000L, 150L},
      {120.0, 250L, 360L},
      {120.0, -50L, 360L},
      {50.0, 200L, 75L},
    };
  }

  @Test(dataProvider = "cases")
  public void leavesTimeForASecondAnswerIfPossible(double usual, long left, long expected) {
    assertEquals(millis(usual, left), expected);
  }

  /**
   * Guards against hedging before the usual latency, which would double the load when nothing is
   * wrong.
   */
  @Test
  public void neverHedgesBeforeMostAnswersHaveArrived() {
    for (long left = -500; left < 2_000; left += 10) {
      assertTrue(millis(100, left) >= 130);
    }
  }
}
