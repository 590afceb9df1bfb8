package org.magnoliaswitch.front.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Whether a seed answers this instance at present, so that a team which it has called open still
 * counts as open. Messages are recorded by one thread; the result is read by any.
 *
 * <p>Load pattern: a seed freezes or is cut off at the moment at which a team begins to send a
 * multiple of its rate. Allowances are limited in number, but the requests that instances admit to
 * an open team without an allowance are limited by the answers of the seed alone.
 */
public final class SeedContact {
  /** Heartbeats arrive every 400 ms. */
  private static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A seed answers a report within 25 ms; the rest is for slow machines and links. */
  private static final long MAX_ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final int MAX_UNANSWERED = 64;

  private static final long NONE = Long.MIN_VALUE;

  private final Deque<Report> unanswered = new ArrayDeque<>();
  private volatile long receivedNanos = NONE;
  private volatile long oldestUnansweredNanos = NONE;

  /** A report that the seed has not echoed yet. */
  private record Report(long sequence, long sentNanos) {}

  /** Records a report with requests, which the seed answers at once. */
  public void reported(long sequence, long nowNanos) {
    // Only the oldest one matters; the next ones tell when the seed answers again.
    if (unanswered.size() < MAX_UNANSWERED) {
      unanswered.addLast(new Report(sequence, nowNanos));
    }
    publishOldest();
  }

  /**
   * Records a message of the seed.
   *
   * @param echoed sequence of the last report that the seed has received
   */
  public void received(long echoed, long nowNanos) {
    while (!unanswered.isEmpty() && unanswered.getFirst().sequence() <= echoed) {
      unanswered.removeFirst();
    }
    receivedNanos = nowNanos;
    publishOldest();
  }

  private void publishOldest() {
    oldestUnansweredNanos = unanswered.isEmpty() ? NONE : unanswered.getFirst().sentNanos();
  }

  /** Whether the seed answers. */
  public boolean answers(long nowNanos) {
    long received = receivedNanos;
    long oldest = oldestUnansweredNanos;
    return received != NONE
        && nowNanos - received < MAX_SILENCE_NANOS
        && (oldest == NONE || nowNanos - oldest < MAX_ANSWER_NANOS);
  }
}
