package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests whether the caller of a rejected request is expected to retry. */
public final class CallerRetryTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final double USUAL = 100 * MILLI;

  /**
   * Each row: whether the connection was used before, time spent, time remaining, expected result.
   */
  @DataProvider
  public Object[][] callers() {
    return new Object[][] {
      {true, OptionalLong.of(0), 1_000 * MILLI, CallerRetry.EXPECTED},
      // A refused caller opens a connection when it retries.
      {false, OptionalLong.of(0), 1_000 * MILLI, CallerRetry.NONE},
      // The caller has a shorter timeout than others.
      {true, OptionalLong.of(140 * MILLI), 860 * MILLI, CallerRetry.EXPECTED},
      // The caller has much less time than others: this may be its second try, and its last.
      {true, OptionalLong.of(300 * MILLI), 700 * MILLI, CallerRetry.NONE},
      {true, OptionalLong.of(600 * MILLI), 400 * MILLI, CallerRetry.NONE},
      // A retry would have no time to be executed.
      {true, OptionalLong.of(0), 149 * MILLI, CallerRetry.NONE},
      {true, OptionalLong.of(0), 0L, CallerRetry.NONE},
      // Without a deadline it is unknown whether the caller has retried before.
      {true, OptionalLong.empty(), 1_000 * MILLI, CallerRetry.NONE},
    };
  }

  /**
   * Guards against refusing a caller on its last try because it is expected to retry; in doubt, a
   * request counts as the last try.
   */
  @Test(dataProvider = "callers")
  public void aRetryIsExpectedOnlyOfACallerThatCanRetry(
      boolean usedConnection, OptionalLong spent, long remaining, CallerRetry expected) {
    assertEquals(CallerRetry.of(usedConnection, spent, remaining, USUAL), expected);
  }

  /** Guards against first attempts that count as late because other callers wait longer. */
  @Test
  public void aShorterTimeoutOnAUsedConnectionIsNoEarlierAttempt() {
    assertTrue(CallerRetry.firstAttempt(true, 200 * MILLI, 2_000 * MILLI, 600 * MILLI));
  }

  /** Guards against retries that take capacity from requests that can still be in time. */
  @Test
  public void aNewConnectionOrMuchLessTimeIsAnEarlierAttempt() {
    assertFalse(CallerRetry.firstAttempt(false, 200 * MILLI, 2_000 * MILLI, 600 * MILLI));
    assertFalse(CallerRetry.firstAttempt(true, 600 * MILLI, 2_000 * MILLI, 600 * MILLI));
  }

  /**
   * Guards against first attempts that count as late: callers that open a connection for each
   * request have timeouts that differ by as much as the objective of their route.
   */
  @Test
  public void timeoutsThatDifferByTheObjectiveSayNothingOfEarlierAttempts() {
    assertTrue(CallerRetry.firstAttempt(false, 450 * MILLI, 3_240 * MILLI, 450 * MILLI));
    assertFalse(CallerRetry.firstAttempt(false, 900 * MILLI, 3_240 * MILLI, 450 * MILLI));
  }
}
