package org.magnoliaswitch.core.process;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a server that fails gets a pause; pure.
 *
 * <p>A server that rejects everything looks idle and would swallow the traffic. The ceiling keeps a
 * bad day, when every server fails, from ejecting everyone. After the pause the server is on trial:
 * its failures are forgotten, and the next few decide.
 */
public final class EjectionPolicy {
  private static final double FAILURE_SHARE_THRESHOLD = 0.5;
  private static final long MIN_SAMPLES = 4;
  private static final double MAX_EJECTED_SHARE = 0.34;
  private static final long BASE_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MAX_DOUBLINGS = 4;
  private static final long REPEAT_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);

  private EjectionPolicy() {}

  /** The ejection to put in force after a failure, or nothing. */
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
    boolean recent = last.count() > 0 && nowNanos - last.untilNanos() < REPEAT_WINDOW_NANOS;
    int count = recent ? last.count() + 1 : 1;
    long pause = BASE_EJECTION_NANOS << Math.min(MAX_DOUBLINGS, count - 1);
    return Optional.of(new Ejection(nowNanos + pause, count));
  }
}
