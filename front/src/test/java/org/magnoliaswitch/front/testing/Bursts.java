package org.magnoliaswitch.front.testing;

import java.util.ArrayList;
import java.util.List;

/** Simulates bursts in which every instance has a request for one server at every time step. */
public final class Bursts {
  /** Decides whether an instance may send, and counts the request if it may. */
  @FunctionalInterface
  public interface SendPolicy {
    /** Whether an instance sends at a point in time. */
    boolean send(int instance, long nowNanos);
  }

  private Bursts() {}

  /** Returns the times at which instances send, one entry for each request. */
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

  /** Returns the largest number of requests in any window of the given length. */
  public static long maxInWindow(List<Long> sends, long spanNanos) {
    long most = 0;
    for (long first : sends) {
      long end = first + spanNanos;
      most = Math.max(most, sends.stream().filter(at -> at >= first && at < end).count());
    }
    return most;
  }
}
