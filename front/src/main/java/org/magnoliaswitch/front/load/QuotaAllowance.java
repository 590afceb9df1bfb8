package org.magnoliaswitch.front.load;

import java.util.concurrent.atomic.AtomicLong;

/**
 * What one instance may admit of one team's requests until it hears from the seed again.
 *
 * <p>Admission is thread-safe and does not block. The requests that were admitted and asked for are
 * counted from the start of the connection to the seed, and reported as differences.
 */
public final class QuotaAllowance {
  /**
   * Requests that an instance may admit to an open team before the seed has counted them. Most
   * instances see a request of a team now and then, but some see a second one before the first is
   * answered.
   */
  static final int OPEN_ALLOWANCE = 3;

  /**
   * An allowance of the seed.
   *
   * @param counted admitted requests that the seed had counted
   * @param granted requests that may be admitted beyond these
   */
  private record Grant(long counted, long granted) {}

  /**
   * Requests since the last report.
   *
   * @param admitted admitted requests; negative if more were returned unsent than admitted
   * @param asked all requests
   */
  public record Usage(int admitted, int asked) {
    /** Whether there is nothing to report. */
    public boolean isEmpty() {
      return admitted == 0 && asked == 0;
    }
  }

  private final AtomicLong admitted = new AtomicLong();
  private final AtomicLong asked = new AtomicLong();
  private volatile Grant grant = new Grant(0, 0);
  private long reportedAdmitted;
  private long reportedAsked;

  /**
   * Admits a request if the allowance is not used up.
   *
   * @param open whether {@link #OPEN_ALLOWANCE} requests may be admitted without a grant
   */
  public boolean tryAdmit(boolean open) {
    asked.incrementAndGet();
    Grant current = grant;
    long limit = current.counted() + Math.max(open ? OPEN_ALLOWANCE : 0, current.granted());
    long before = admitted.get();
    while (before < limit) {
      if (admitted.compareAndSet(before, before + 1)) {
        return true;
      }
      before = admitted.get();
    }
    return false;
  }

  /** Counts a request that needs no allowance. */
  public void countAsked() {
    asked.incrementAndGet();
  }

  /** Returns an admitted request that was not sent to any server. */
  public void giveBack() {
    admitted.decrementAndGet();
  }

  /** Replaces the allowance by the one in the latest message of the seed. */
  public void update(long counted, long granted) {
    grant = new Grant(counted, granted);
  }

  /** Returns the requests since the last call; called by one thread only. */
  public Usage takeUsage() {
    long admittedNow = admitted.get();
    long askedNow = asked.get();
    Usage usage =
        new Usage((int) (admittedNow - reportedAdmitted), (int) (askedNow - reportedAsked));
    reportedAdmitted = admittedNow;
    reportedAsked = askedNow;
    return usage;
  }
}
