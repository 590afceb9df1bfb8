package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What is left to a caller whose request was rejected. */
public final class CallerRetryTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final double USUAL = 100 * MILLI;

  /** Each row: whether the connection was used, time spent and left, what the caller can do. */
  @DataProvider
  public Object[][] callers() {
    return new Object[][] {
      {true, OptionalLong.of(0), 1_000 * MILLI, CallerRetry.EXPECTED},
      // A refused caller opens a connection when it comes back.
      {false, OptionalLong.of(0), 1_000 * MILLI, CallerRetry.NONE},
      // It is less patient than others.
      {true, OptionalLong.of(140 * MILLI), 860 * MILLI, CallerRetry.EXPECTED},
      // It has much less time than others: this may be its second try, and its last.
      {true, OptionalLong.of(300 * MILLI), 700 * MILLI, CallerRetry.NONE},
      {true, OptionalLong.of(600 * MILLI), 400 * MILLI, CallerRetry.NONE},
      // A return would find no time to work.
      {true, OptionalLong.of(0), 149 * MILLI, CallerRetry.NONE},
      {true, OptionalLong.of(0), 0L, CallerRetry.NONE},
      // It does not tell a deadline, so nobody knows whether it has come back before.
      {true, OptionalLong.empty(), 1_000 * MILLI, CallerRetry.NONE},
    };
  }

  /**
   * Taken for one that comes back, a caller on its last try is refused and leaves with nothing;
   * whatever is doubtful therefore counts as the last try.
   */
  @Test(dataProvider = "callers")
  public void onlyACallerThatCanComeBackIsTakenForOne(
      boolean usedConnection, OptionalLong spent, long left, CallerRetry expected) {
    assertEquals(CallerRetry.of(usedConnection, spent, left, USUAL), expected);
  }
}
