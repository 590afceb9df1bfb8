package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays the cases of {@link QuotaAllocatorTest} with other random numbers. A promise about all runs
 * that is checked on one draw of each case holds by luck.
 *
 * <p>The system property {@code quota.draws} sets the draws of each case, {@code quota.seed} the
 * first seed.
 */
public final class QuotaDrawsTest {
  private static final int DRAWS = Integer.getInteger("quota.draws", 3);
  private static final long FIRST_SEED = Long.getLong("quota.seed", 400);

  private static List<Long> seeds() {
    List<Long> seeds = new ArrayList<>();
    for (int i = 0; i < DRAWS; i++) {
      seeds.add(FIRST_SEED + i);
    }
    return seeds;
  }

  /** Runs a case with each seed; a failure names the seeds that fail, with their messages. */
  private static void assertAllPass(Case check) {
    List<String> failures = new ArrayList<>();
    for (long seed : seeds()) {
      try {
        check.run(seed);
      } catch (AssertionError e) {
        failures.add(e.getMessage());
      }
    }
    assertEquals(failures, List.of());
  }

  private interface Case {
    void run(long seed);
  }

  /** Each row: instances. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{18}, {103}, {300}};
  }

  /** Guards against teams within their rate that are refused in rare courses only. */
  @Test(dataProvider = "sizes")
  public void teamWithinItsRateIsHardlyRefused(int instances) {
    QuotaAllocatorTest.Use use = new QuotaAllocatorTest.Use();
    assertAllPass(seed -> use.teamWithinItsRateIsHardlyRefused(instances, seed));
  }

  /** Guards against tokens of other seeds that are lost depending on when they are asked for. */
  @Test(dataProvider = "sizes")
  public void busyTeamGetsItsRate(int instances) {
    QuotaAllocatorTest.Use use = new QuotaAllocatorTest.Use();
    assertAllPass(seed -> use.busyTeamGetsItsRate(instances, seed));
  }

  /** Guards against quotas that are exceeded in rare orders of events only. */
  @Test(dataProvider = "faults", dataProviderClass = QuotaAllocatorTest.Limits.class)
  public void noWindowExceedsTheQuota(int instances, QuotaFault fault, long unusedSeed) {
    if (instances <= 103) {
      QuotaAllocatorTest.Limits limits = new QuotaAllocatorTest.Limits();
      assertAllPass(seed -> limits.noWindowExceedsTheQuota(instances, fault, seed));
    }
  }
}
