package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * When this instance reads the platform itself; pure.
 *
 * <p>Every read is paid for, and instances tell each other what they read, so one reader is enough.
 * Nobody is elected: each instance reads when what it knows has become older than its patience, and
 * the patience grows with its place among the seeds. A dead, cut off or refused reader is replaced
 * by the next that runs out of patience, and an instance that hears nobody reads for itself. All
 * patiences stay well below the two seconds in which a leaving server must be noticed.
 *
 * @param rank place among the seeds; {@code Integer.MAX_VALUE} for other instances
 * @param firstStart whether the whole system starts for the first time, all instances together
 * @param jitterMillis this instance's part of the spread of those that are no seeds
 */
public record PollingSchedule(int rank, boolean firstStart, long jitterMillis) {
  /** Spread over which instances that are no seeds lose patience. */
  public static final int JITTER_SPAN_MILLIS = 300;

  /**
   * Longest wait for changes of what operators declare. While it is out nothing else vouches for
   * the configuration, so with its answer on the way it stays below the second seed's patience.
   */
  static final long WAIT_MILLIS = 600;

  private static final long[] SEED_PATIENCE_MILLIS = {700, 1_000, 1_200};
  private static final long OTHER_PATIENCE_MILLIS = 1_400;

  private static final long RETRY_MILLIS = 250;
  private static final long PATIENT_RETRY_MILLIS = 2_500;

  /** The plan of an instance. */
  public static PollingSchedule of(
      InetSocketAddress self, List<InetSocketAddress> seeds, boolean firstStart, long jitter) {
    int index = seeds.indexOf(self);
    return new PollingSchedule(index < 0 ? Integer.MAX_VALUE : index, firstStart, jitter);
  }

  /** Whether this instance waits for changes of the configuration at the platform. */
  public boolean waitsForChanges() {
    return rank == 0;
  }

  /** Wait before the read that follows a failed wait; one that failed at once is not hurried. */
  public long afterFailedWaitMillis(long tookMillis) {
    return Math.max(0, RETRY_MILLIS - tookMillis);
  }

  /** Milliseconds until the next own read, given the age of what is known and of the process. */
  public long untilRead(long ageMillis, long uptimeMillis) {
    long patience = patienceMillis();
    if (ageMillis <= uptimeMillis) {
      return Math.max(0, patience - ageMillis);
    }
    // Nothing confirmed yet: after a restart callers wait, at the first start nobody does.
    return firstStart && rank != 0 ? Math.max(0, patience - uptimeMillis) : 0;
  }

  /**
   * Shortest wait after a failed read. While the store is away for all, many instances with short
   * waits would make calls in vain all the time. Those that serve and hear others leave it to the
   * seeds, who tell them at once when it is back; of a store that turns only the seeds away they
   * still learn in time by asking now and then.
   *
   * @param complete whether this instance knows enough to serve
   * @param hearsPeers whether other instances tell it their news
   */
  public long retryMillis(boolean complete, boolean hearsPeers) {
    boolean patient = rank >= SEED_PATIENCE_MILLIS.length && complete && hearsPeers;
    return patient ? PATIENT_RETRY_MILLIS : RETRY_MILLIS;
  }

  private long patienceMillis() {
    return rank < SEED_PATIENCE_MILLIS.length
        ? SEED_PATIENCE_MILLIS[rank]
        : OTHER_PATIENCE_MILLIS + jitterMillis;
  }
}
