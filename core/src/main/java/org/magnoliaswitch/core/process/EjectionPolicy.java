package org.magnoliaswitch.core.process;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a failing server is ejected; without side effects.
 *
 * <p>A server that rejects every request looks idle and would attract most of the traffic. The
 * policy limits the share of servers that is ejected at once, so that not all are ejected when all
 * of them fail, but always allows one ejected server. Failure counts are reset at the ejection, so
 * that after it the next few samples decide.
 */
public final class EjectionPolicy {
  private static final double FAILURE_SHARE_THRESHOLD = 0.5;
  private static final long MIN_SAMPLES = 4;
  private static final double MAX_EJECTED_SHARE = 0.34;
  private static final long BASE_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MAX_DOUBLINGS = 4;
  private static final long REPEAT_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);

  private EjectionPolicy() {}

  /** Returns the ejection to apply after a failure, or empty if there is none. */
  public static Optional<Ejection> decide(
      ServerLoad load, List<ServerHandle> servers, long nowNanos) {
    ServerLoad.Averages averages = load.averages();
    Ejection last = load.ejection();
    if (last.active(nowNanos)
        || averages.samples() < MIN_SAMPLES
        || averages.failureShare() < FAILURE_SHARE_THRESHOLD) {
      return Optional.empty();
    }
    long ejected = servers.stream().filter(s -> s.load().ejection().active(nowNanos)).count();
    if (ejected + 1 > Math.max(1, MAX_EJECTED_SHARE * servers.size())) {
      return Optional.empty();
    }
    boolean consecutive = last.count() > 0 && nowNanos - last.untilNanos() < REPEAT_WINDOW_NANOS;
    int count = consecutive ? last.count() + 1 : 1;
    long duration = BASE_EJECTION_NANOS << Math.min(MAX_DOUBLINGS, count - 1);
    return Optional.of(new Ejection(nowNanos + duration, count));
  }
}
