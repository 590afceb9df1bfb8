package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.version.ProbeBudget;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the bound on the probes of all instances together. */
public final class ProberTest {
  @DataProvider
  public static Object[][] instances() {
    return new Object[][] {
      {18, 18}, {36, 18}, {36, 1}, {40, 40},
    };
  }

  /**
   * Instances know only as many instances as the second number says, since the list is frozen or
   * unavailable, and each requests a probe at every opportunity. The budget must still hold in
   * every window, because the declared maximum number of instances bounds the rate of each.
   */
  @Test(dataProvider = "instances")
  public void staysWithinBudgetWhateverTheKnownInstances(int alive, int known) {
    ProbeBudget budget = new ProbeBudget(5, 40);
    ManualClock time = new ManualClock();
    List<ServerLoad> loads = new ArrayList<>();
    for (int i = 0; i < alive; i++) {
      loads.add(new ServerLoad(Declarations.server("s", 1), time.read()));
    }
    SplittableRandom random = new SplittableRandom(4);
    List<Long> probes = new ArrayList<>();
    for (int step = 0; step < 4_000; step++) {
      time.advance(Duration.ofMillis(random.nextInt(20)));
      ServerLoad load = loads.get(random.nextInt(alive));
      if (load.tryClaimProbe(time.read(), Prober.minIntervalNanos(budget, known))) {
        probes.add(time.read());
      }
    }
    long window = Duration.ofMillis(budget.minIntervalMillis()).toNanos();
    double allowed = budget.probesPerSecond() * budget.minIntervalMillis() / 1_000.0;
    for (long start : probes) {
      long probesInWindow = probes.stream().filter(p -> p >= start && p < start + window).count();
      assertTrue(probesInWindow <= allowed, probesInWindow + " probes, allowed " + allowed);
    }
  }

  @Test
  public void moreInstancesThanDeclaredLengthenTheInterval() {
    ProbeBudget budget = new ProbeBudget(5, 40);
    assertEquals(Prober.minIntervalNanos(budget, 80), 2 * Prober.minIntervalNanos(budget, 40));
  }
}
