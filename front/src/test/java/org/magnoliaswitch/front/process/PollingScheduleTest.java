package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.testng.annotations.Test;

/** Who reads the platform, and when. */
public final class PollingScheduleTest {
  private static final long DAY = 86_400_000;
  private static final List<InetSocketAddress> SEEDS = List.of(at(1), at(2), at(3));

  private static InetSocketAddress at(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  private static PollingSchedule plan(int port, boolean firstStart) {
    return PollingSchedule.of(at(port), SEEDS, firstStart, 0);
  }

  /** Ordinary days and lost readers. */
  public static final class Running {
    @Test
    public void theFirstSeedReadsBeforeAnyOtherLosesPatience() {
      assertTrue(plan(1, false).untilRead(0, DAY) < plan(2, false).untilRead(0, DAY));
      assertTrue(plan(2, false).untilRead(0, DAY) < plan(3, false).untilRead(0, DAY));
      assertTrue(plan(3, false).untilRead(0, DAY) < plan(9, false).untilRead(0, DAY));
    }

    /**
     * The reader dies right after a read, and all seeds with it. Each other instance must read for
     * itself in time to notice a server that began to leave just then, within two seconds.
     */
    @Test
    public void withoutAnySeedNewsAreYoungerThanTwoSeconds() {
      PollingSchedule slowest =
          PollingSchedule.of(at(9), SEEDS, false, PollingSchedule.JITTER_SPAN_MILLIS);
      assertTrue(slowest.untilRead(0, DAY) < 1_800);
      assertEquals(slowest.untilRead(5_000, DAY), 0);
    }

    /** Guards against a wait that leaves the configuration unconfirmed for longer than is usual. */
    @Test
    public void aWaitForChangesEndsBeforeTheSecondSeedLosesPatience() {
      long answered = 200;
      assertTrue(PollingSchedule.WAIT_MILLIS + answered < plan(2, false).untilRead(0, DAY));
    }

    @Test
    public void onlyOneInstanceWaitsForChanges() {
      assertTrue(plan(1, false).waitsForChanges());
      assertTrue(!plan(2, false).waitsForChanges());
      assertTrue(!plan(9, false).waitsForChanges());
    }
  }

  /** While the store is away. */
  public static final class Outages {
    /**
     * 150 instances ask a store that is away for eight seconds. The seeds go on, or nobody would
     * notice its return; the others must leave most of it to them.
     */
    @Test
    public void onlySeedsAskOften() {
      assertTrue(plan(1, false).retryMillis(true, true) < 500);
      assertTrue(plan(3, false).retryMillis(true, true) < 500);
      assertTrue(plan(9, false).retryMillis(true, true) > 2_000);
    }

    /** Whoever hears nobody, or knows too little to serve its callers, must help itself. */
    @Test
    public void whoeverIsAloneOrKnowsNothingAsksOften() {
      assertTrue(plan(9, false).retryMillis(true, false) < 500);
      assertTrue(plan(9, false).retryMillis(false, true) < 500);
    }
  }

  /** Starts. */
  public static final class Starting {
    @Test
    public void atTheFirstStartOthersWaitForTheFirstSeed() {
      assertEquals(plan(1, true).untilRead(DAY, 10), 0);
      assertTrue(plan(9, true).untilRead(DAY, 10) > 1_000);
    }

    @Test
    public void afterARestartEachReadsAtOnce() {
      assertEquals(plan(9, false).untilRead(DAY, 10), 0);
    }
  }
}
