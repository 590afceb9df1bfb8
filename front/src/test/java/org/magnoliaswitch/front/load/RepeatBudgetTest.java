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
public final class RepeatBudgetTest {
  private static final long WINDOW = TimeUnit.SECONDS.toNanos(10);
  private static final RepeatBudget.Limits LIMITS = new RepeatBudget.Limits(0.2, 62, WINDOW);

  @DataProvider
  public Object[][] instances() {
    return new Object[][] {{1}, {17}, {34}};
  }

  /**
   * Every first send fails and every budget is used to the last, on instances that see very
   * different traffic. In no window may the sum over all of them exceed what the service allows: a
   * retry storm would follow an outage.
   */
  @Test(dataProvider = "instances")
  public void theSumOverUnevenInstancesKeepsTheRule(int instances) {
    RandomGenerator random = new java.util.Random(instances);
    RepeatBudget[] budgets = new RepeatBudget[instances];
    for (int i = 0; i < instances; i++) {
      budgets[i] = new RepeatBudget(LIMITS);
    }
    Deque<Long> requests = new ArrayDeque<>();
    Deque<Long> repeats = new ArrayDeque<>();
    long now = 0;
    for (int step = 0; step < 20_000; step++) {
      now += random.nextLong(TimeUnit.MILLISECONDS.toNanos(4));
      int instance = (int) (instances * Math.pow(random.nextDouble(), 3));
      budgets[instance].request(now);
      requests.addLast(now);
      if (budgets[instance].spend(instances, now)) {
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
    RepeatBudget budget = new RepeatBudget(LIMITS);
    while (budget.spend(17, 0)) {
      assertTrue(true);
    }
    assertFalse(budget.spend(17, WINDOW / 2));
    assertTrue(budget.spend(17, 2 * WINDOW));
  }

  private static void forget(Deque<Long> times, long now) {
    while (!times.isEmpty() && now - times.peekFirst() > WINDOW) {
      times.removeFirst();
    }
  }
}
