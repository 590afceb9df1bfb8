package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests one instance's share of the budget for further attempts. */
public final class SharedRetryBudgetTest {
  private static final long WINDOW = TimeUnit.SECONDS.toNanos(10);
  private static final SharedRetryBudget.Limits LIMITS =
      new SharedRetryBudget.Limits(0.2, 62, WINDOW);

  @DataProvider
  public Object[][] instances() {
    return new Object[][] {{1}, {17}, {34}, {152}};
  }

  /**
   * Guards against a retry storm after an outage. Every first attempt fails and every budget is
   * used up, on instances with very different traffic; in no window may the sum over all instances
   * exceed the limits of the service.
   */
  @Test(dataProvider = "instances")
  public void theSumOverUnevenInstancesStaysWithinTheLimits(int instances) {
    RandomGenerator random = new java.util.Random(instances);
    SharedRetryBudget[] budgets = new SharedRetryBudget[instances];
    for (int i = 0; i < instances; i++) {
      budgets[i] = new SharedRetryBudget(LIMITS, random.nextDouble());
    }
    Deque<Long> requests = new ArrayDeque<>();
    Deque<Long> retries = new ArrayDeque<>();
    long now = 0;
    for (int step = 0; step < 20_000; step++) {
      now += random.nextLong(TimeUnit.MILLISECONDS.toNanos(4));
      int instance = (int) (instances * Math.pow(random.nextDouble(), 3));
      budgets[instance].recordRequest(now);
      requests.addLast(now);
      if (budgets[instance].trySpend(CallerRetry.NONE, instances, now)) {
        retries.addLast(now);
      }
      removeExpired(requests, now);
      removeExpired(retries, now);
      assertTrue(
          retries.size() <= 0.2 * requests.size() + 62,
          retries.size() + " retries of " + requests.size());
    }
  }

  @Test
  public void anInstanceMayRetryAgainAfterItsWindow() {
    SharedRetryBudget budget = new SharedRetryBudget(LIMITS, 0);
    while (budget.trySpend(CallerRetry.NONE, 17, 0)) {
      assertTrue(true);
    }
    assertFalse(budget.trySpend(CallerRetry.NONE, 17, WINDOW / 2));
    assertTrue(budget.trySpend(CallerRetry.NONE, 17, 2 * WINDOW));
  }

  /**
   * Every second request is rejected, and callers that could retry ask for the budget first. If
   * they got all of it, callers that have already retried would be refused again and get no answer.
   */
  @Test
  public void callersThatCanRetryLeaveBudgetForThoseThatCannot() {
    SharedRetryBudget budget = new SharedRetryBudget(LIMITS, 0);
    for (int i = 0; i < 500; i++) {
      budget.recordRequest(0);
    }
    int returning = spendAll(budget, CallerRetry.EXPECTED);
    int last = spendAll(budget, CallerRetry.NONE);
    assertTrue(returning > 20, "retrying callers " + returning);
    assertTrue(last > returning, "last tries " + last + ", retrying callers " + returning);
  }

  /**
   * One instance of many receives five requests in ten seconds, and one of them is rejected. Its
   * budget is unused, so the request must get a further attempt although its caller could retry.
   */
  @Test
  public void aSingleRejectionIsRetriedForAnyCaller() {
    SharedRetryBudget budget =
        new SharedRetryBudget(new SharedRetryBudget.Limits(0.2, 230, WINDOW), 0);
    for (int i = 0; i < 5; i++) {
      budget.recordRequest(0);
    }
    assertTrue(budget.trySpend(CallerRetry.EXPECTED, 152, 0));
    assertFalse(budget.trySpend(CallerRetry.EXPECTED, 152, 0));
  }

  /**
   * 150 instances may make 5.5 further attempts each. If all of them rounded down, a tenth of the
   * callers that the budget is meant for would be refused.
   */
  @Test
  public void fractionalSharesAddUp() {
    RandomGenerator random = new java.util.Random(3);
    int instances = 150;
    SharedRetryBudget.Limits limits = new SharedRetryBudget.Limits(0.2, 150 * 2, WINDOW);
    int sum = 0;
    for (int i = 0; i < instances; i++) {
      SharedRetryBudget budget = new SharedRetryBudget(limits, random.nextDouble());
      for (int request = 0; request < 28; request++) {
        budget.recordRequest(0);
      }
      int spent = 0;
      while (budget.trySpend(CallerRetry.NONE, instances, 0)) {
        spent++;
      }
      sum += spent;
    }
    double allowed = instances * limits.allowed(28, instances);
    assertTrue(Math.abs(sum - allowed) < 0.02 * allowed, sum + " of " + allowed);
  }

  private static int spendAll(SharedRetryBudget budget, CallerRetry callerRetry) {
    int spent = 0;
    while (budget.trySpend(callerRetry, 17, 0)) {
      spent++;
    }
    return spent;
  }

  private static void removeExpired(Deque<Long> times, long now) {
    while (!times.isEmpty() && now - times.peekFirst() > WINDOW) {
      times.removeFirst();
    }
  }
}
