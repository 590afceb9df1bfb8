package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The share of further sends that one instance may make. */
public final class SharedRetryBudgetTest {
  private static final long WINDOW = TimeUnit.SECONDS.toNanos(10);
  private static final SharedRetryBudget.Limits LIMITS =
      new SharedRetryBudget.Limits(0.2, 62, WINDOW);

  @DataProvider
  public Object[][] instances() {
    return new Object[][] {{1}, {17}, {34}, {152}};
  }

  /**
   * Every first send fails and every budget is used to the last, on instances that see very
   * different traffic. In no window may the sum over all of them exceed what the service allows: a
   * retry storm would follow an outage.
   */
  @Test(dataProvider = "instances")
  public void theSumOverUnevenInstancesKeepsTheRule(int instances) {
    RandomGenerator random = new java.util.Random(instances);
    SharedRetryBudget[] budgets = new SharedRetryBudget[instances];
    for (int i = 0; i < instances; i++) {
      budgets[i] = new SharedRetryBudget(LIMITS, random.nextDouble());
    }
    Deque<Long> requests = new ArrayDeque<>();
    Deque<Long> repeats = new ArrayDeque<>();
    long now = 0;
    for (int step = 0; step < 20_000; step++) {
      now += random.nextLong(TimeUnit.MILLISECONDS.toNanos(4));
      int instance = (int) (instances * Math.pow(random.nextDouble(), 3));
      budgets[instance].recordRequest(now);
      requests.addLast(now);
      if (budgets[instance].trySpend(CallerRetry.NONE, instances, now)) {
        repeats.addLast(now);
      }
      forget(requests, now);
      forget(repeats, now);
      assertTrue(
          repeats.size() <= 0.2 * requests.size() + 62,
          repeats.size() + " repeats of " + requests.size());
    }
  }

  @Test
  public void aQuietInstanceMayRepeatAfterItsWindow() {
    SharedRetryBudget budget = new SharedRetryBudget(LIMITS, 0);
    while (budget.trySpend(CallerRetry.NONE, 17, 0)) {
      assertTrue(true);
    }
    assertFalse(budget.trySpend(CallerRetry.NONE, 17, WINDOW / 2));
    assertTrue(budget.trySpend(CallerRetry.NONE, 17, 2 * WINDOW));
  }

  /**
   * Every second request is rejected, and those that could come back ask first. Were they given
   * all, the ones that have come back would be refused again and leave with nothing.
   */
  @Test
  public void callersThatCanComeBackLeaveSomeForThoseThatCannot() {
    SharedRetryBudget budget = new SharedRetryBudget(LIMITS, 0);
    for (int i = 0; i < 500; i++) {
      budget.recordRequest(0);
    }
    int returning = spendAll(budget, CallerRetry.EXPECTED);
    int last = spendAll(budget, CallerRetry.NONE);
    assertTrue(returning > 20, "returning " + returning);
    assertTrue(last > returning, "last " + last + ", returning " + returning);
  }

  /**
   * An instance of many sees five requests in ten seconds, and one of them is rejected. Its budget
   * is untouched, so the caller must not be sent back although it could return.
   */
  @Test
  public void aSingleRejectionIsSentAgainWhoeverItsCallerIs() {
    SharedRetryBudget budget =
        new SharedRetryBudget(new SharedRetryBudget.Limits(0.2, 230, WINDOW), 0);
    for (int i = 0; i < 5; i++) {
      budget.recordRequest(0);
    }
    assertTrue(budget.trySpend(CallerRetry.EXPECTED, 152, 0));
    assertFalse(budget.trySpend(CallerRetry.EXPECTED, 152, 0));
  }

  /**
   * 150 instances may make 5.5 further sends each. All rounding down, a tenth of the callers that
   * the budget is for would be refused.
   */
  @Test
  public void sharesThatAreNoWholeNumbersAddUp() {
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

  private static int spendAll(SharedRetryBudget budget, CallerRetry fallback) {
    int spent = 0;
    while (budget.trySpend(fallback, 17, 0)) {
      spent++;
    }
    return spent;
  }

  private static void forget(Deque<Long> times, long now) {
    while (!times.isEmpty() && now - times.peekFirst() > WINDOW) {
      times.removeFirst();
    }
  }
}
