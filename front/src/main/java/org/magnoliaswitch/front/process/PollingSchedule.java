package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Decides when this instance reads the platform itself; immutable.
 *
 * <p>Every read is billed, and instances send each other what they read, so one reader suffices. No
 * leader is elected: each instance reads when its state is older than its staleness limit, and the
 * limit grows with the rank among the seeds. A reader that has crashed, is cut off or is rejected
 * by the platform is replaced by the instance with the next higher limit, and an instance that
 * receives no updates reads for itself. All limits stay well below the two seconds within which a
 * leaving server must be noticed.
 *
 * @param rank position among the seeds; {@code Integer.MAX_VALUE} for other instances
 * @param firstStart whether all instances start together for the first time
 * @param jitterMillis added to the staleness limit of instances other than the first three seeds
 */
public record PollingSchedule(int rank, boolean firstStart, long jitterMillis) {
  /** Range of the jitter in the staleness limits of instances other than the first three seeds. */
  public static final int JITTER_SPAN_MILLIS = 300;

  /**
   * Maximum wait of one long poll for changes of the state that operators declare. While it is
   * pending nothing else confirms the configuration, so together with the time for its response it
   * must stay below the second seed's staleness limit.
   */
  static final long WAIT_MILLIS = 600;

  private static final long[] SEED_STALENESS_LIMIT_MILLIS = {700, 1_000, 1_200};
  private static final long OTHER_STALENESS_LIMIT_MILLIS = 1_400;

  private static final long RETRY_MILLIS = 250;
  private static final long SLOW_RETRY_MILLIS = 2_500;

  /** Returns the schedule of an instance. */
  public static PollingSchedule of(
      InetSocketAddress self, List<InetSocketAddress> seeds, boolean firstStart, long jitter) {
    int index = seeds.indexOf(self);
    return new PollingSchedule(index < 0 ? Integer.MAX_VALUE : index, firstStart, jitter);
  }

  /** Whether this instance keeps a long poll for configuration changes open at the platform. */
  public boolean waitsForChanges() {
    return rank == 0;
  }

  /**
   * Returns the delay before the read that follows a failed long poll. After a long poll that
   * failed at once, the read is delayed by the full retry interval.
   */
  public long afterFailedWaitMillis(long tookMillis) {
    return Math.max(0, RETRY_MILLIS - tookMillis);
  }

  /**
   * Returns the milliseconds until the next own read, given the age of the state and the uptime of
   * the process.
   */
  public long untilRead(long ageMillis, long uptimeMillis) {
    long limit = stalenessLimitMillis();
    if (ageMillis <= uptimeMillis) {
      return Math.max(0, limit - ageMillis);
    }
    // No state has been confirmed since the start. After a restart callers wait, so the instance
    // reads at once. At the first start of all instances there are no callers yet, and only the
    // first seed reads at once.
    return firstStart && rank != 0 ? Math.max(0, limit - uptimeMillis) : 0;
  }

  /**
   * Returns the minimum delay after a failed read. While the store is unavailable to all instances,
   * short delays would make many of them call it in vain all the time. Instances that can serve
   * callers and receive updates leave the frequent retries to the seeds, which publish its recovery
   * at once. If the store rejects only the seeds, occasional retries of the others still notice it
   * in time.
   *
   * @param complete whether this instance knows enough to serve callers
   * @param receivesFromPeers whether other instances currently send their state to this one
   */
  public long retryMillis(boolean complete, boolean receivesFromPeers) {
    boolean slow = rank >= SEED_STALENESS_LIMIT_MILLIS.length && complete && receivesFromPeers;
    return slow ? SLOW_RETRY_MILLIS : RETRY_MILLIS;
  }

  private long stalenessLimitMillis() {
    return rank < SEED_STALENESS_LIMIT_MILLIS.length
        ? SEED_STALENESS_LIMIT_MILLIS[rank]
        : OTHER_STALENESS_LIMIT_MILLIS + jitterMillis;
  }
}
