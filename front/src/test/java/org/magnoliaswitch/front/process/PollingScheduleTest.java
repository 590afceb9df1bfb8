package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.testng.annotations.Test;

/** Tests which instance reads the platform, and when. */
public final class PollingScheduleTest {
  private static final long DAY = 86_400_000;
  private static final List<InetSocketAddress> SEEDS = List.of(at(1), at(2), at(3));

  private static InetSocketAddress at(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  private static PollingSchedule schedule(int port, boolean firstStart) {
    return PollingSchedule.of(at(port), SEEDS, firstStart, 0);
  }

  /** Normal operation and lost readers. */
  public static final class Running {
    @Test
    public void firstSeedReadsBeforeOthersReachStalenessLimit() {
      assertTrue(schedule(1, false).untilRead(0, DAY) < schedule(2, false).untilRead(0, DAY));
      assertTrue(schedule(2, false).untilRead(0, DAY) < schedule(3, false).untilRead(0, DAY));
      assertTrue(schedule(3, false).untilRead(0, DAY) < schedule(9, false).untilRead(0, DAY));
    }

    /**
     * Guards against state older than two seconds when all seeds crash right after a read: a server
     * that starts to leave at that time must be noticed within two seconds by an instance's own
     * read.
     */
    @Test
    public void stateIsYoungerThanTwoSecondsWithoutSeeds() {
      PollingSchedule slowest =
          PollingSchedule.of(at(9), SEEDS, false, PollingSchedule.JITTER_SPAN_MILLIS);
      assertTrue(slowest.untilRead(0, DAY) < 1_800);
      assertEquals(slowest.untilRead(5_000, DAY), 0);
    }

    /**
     * Guards against a long poll during which the configuration becomes staler than the second
     * seed's limit.
     */
    @Test
    public void longPollEndsBeforeSecondSeedReachesStalenessLimit() {
      long responseMillis = 200;
      assertTrue(
          PollingSchedule.WAIT_MILLIS + responseMillis < schedule(2, false).untilRead(0, DAY));
    }

    @Test
    public void onlyFirstSeedWaitsForChanges() {
      assertTrue(schedule(1, false).waitsForChanges());
      assertTrue(!schedule(2, false).waitsForChanges());
      assertTrue(!schedule(9, false).waitsForChanges());
    }
  }

  /** The store is unavailable. */
  public static final class Outages {
    /**
     * Guards against useless calls of 150 instances to a store that is unavailable for eight
     * seconds. Only the seeds retry often, so that the recovery is noticed.
     */
    @Test
    public void onlySeedsRetryOften() {
      assertTrue(schedule(1, false).retryMillis(true, true) < 500);
      assertTrue(schedule(3, false).retryMillis(true, true) < 500);
      assertTrue(schedule(9, false).retryMillis(true, true) > 2_000);
    }

    /**
     * An instance without peers, or without the state that it needs to serve callers, depends on
     * its own reads.
     */
    @Test
    public void instanceWithoutPeersOrStateRetriesOften() {
      assertTrue(schedule(9, false).retryMillis(true, false) < 500);
      assertTrue(schedule(9, false).retryMillis(false, true) < 500);
    }
  }

  /** The start of instances. */
  public static final class Starting {
    @Test
    public void othersWaitForFirstSeedAtFirstStart() {
      assertEquals(schedule(1, true).untilRead(DAY, 10), 0);
      assertTrue(schedule(9, true).untilRead(DAY, 10) > 1_000);
    }

    @Test
    public void allReadAtOnceAfterRestart() {
      assertEquals(schedule(9, false).untilRead(DAY, 10), 0);
    }
  }
}
