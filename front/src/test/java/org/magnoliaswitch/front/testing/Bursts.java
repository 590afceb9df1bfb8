package org.magnoliaswitch.front.testing;

import java.util.ArrayList;
import java.util.List;

/** Bursts in which every instance has a request for one server at every moment. */
public final class Bursts {
  /** Decides whether an instance may send now, and counts the send if it may. */
  @FunctionalInterface
  public interface SendPolicy {
    /** Whether an instance sends at a moment. */
    boolean send(int instance, long nowNanos);
  }

  private Bursts() {}

  /** Times at which instances send, with a moment every step. */
  public static List<Long> simulate(
      SendPolicy policy, int instances, long fromNanos, long spanNanos, long stepNanos) {
    List<Long> sends = new ArrayList<>();
    for (long now = fromNanos; now < fromNanos + spanNanos; now += stepNanos) {
      for (int instance = 0; instance < instances; instance++) {
        if (policy.send(instance, now)) {
          sends.add(now);
        }
      }
    }
    return sends;
  }

  /** The most sends in any span. */
  public static long maxInWindow(List<Long> sends, long spanNanos) {
    long most = 0;
    for (long first : sends) {
      long end = first + spanNanos;
      most = Math.max(most, sends.stream().filter(at -> at >= first && at < end).count());
    }
    return most;
  }
}
