package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.load.SharedRetryBudget;
import org.magnoliaswitch.front.process.RouteState;
import org.magnoliaswitch.front.testing.TestHeaders;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.WeightedService;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what the deadlines that callers state tell about their earlier attempts. */
public final class CallerTimeoutTest {
  private static final long TIMEOUT = TimeUnit.MILLISECONDS.toNanos(1_500);
  private static final Route ROUTE =
      new Route(
          "r", "h", "/", true, TIMEOUT, TIMEOUT / 3, 0, 2, List.of(new WeightedService("s", 1)));

  private static RouteState state() {
    return new RouteState(
        new Random(1), new SharedRetryBudget.Limits(0.5, 100, TimeUnit.SECONDS.toNanos(10)));
  }

  /** Returns the time in ms that a caller with a stated deadline has spent before. */
  private static long spentMillis(RouteState state, long deadlineMillis) {
    CallerRequest request =
        new CallerRequest(
            HttpMethod.GET,
            "/x",
            new DefaultHttpHeaders().set("Deadline-Millis", deadlineMillis),
            new byte[0],
            0,
            false,
            "127.0.0.1");
    return TimeUnit.NANOSECONDS.toMillis(
        CallerTimeout.spentNanos(ROUTE, request, TestHeaders.NAMES, state).orElseThrow());
  }

  @DataProvider
  public Object[][] hugeDeadlines() {
    return new Object[][] {{15_001L}, {999_999_999L}, {Long.MAX_VALUE}};
  }

  /** Guards against one huge deadline after which all requests of its route count as late. */
  @Test(dataProvider = "hugeDeadlines")
  public void hugeDeadlineIsNotRememberedForItsRoute(long deadlineMillis) {
    RouteState state = state();
    assertEquals(spentMillis(state, deadlineMillis), 0);
    assertEquals(spentMillis(state, 3_357), 0);
    assertEquals(spentMillis(state, deadlineMillis), 0);
    assertEquals(spentMillis(state, 2_357), 1_000);
  }

  /** Guards against a bound that hides the earlier attempts of callers who wait long. */
  @Test
  public void deadlineBeyondTheTimeoutOfTheRouteIsRemembered() {
    RouteState state = state();
    assertEquals(spentMillis(state, 15_000), 0);
    assertEquals(spentMillis(state, 14_000), 1_000);
  }
}
