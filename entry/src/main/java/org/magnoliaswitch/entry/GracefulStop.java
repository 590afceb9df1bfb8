package org.magnoliaswitch.entry;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.process.ControlPlane;

/**
 * Stops an instance without aborting requests in flight.
 *
 * <p>The instance first fails its readiness check, announces to its peers that it is leaving, and
 * keeps serving until the load balancer has had time to notice. Responses sent during that time ask
 * the caller to close its connection. Then the instance stops accepting connections, waits for the
 * requests in flight, its own and those that it relays for peers, and writes the final segment of
 * its outcome records.
 */
final class GracefulStop {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int EXIT_COMPLETED = 0;
  private static final int EXIT_TIMED_OUT = 1;

  private final EntrySettings settings;
  private final ControlPlane control;
  private final CallerListener callers;

  GracefulStop(EntrySettings settings, ControlPlane control, CallerListener callers) {
    this.settings = settings;
    this.control = control;
    this.callers = callers;
  }

  void run() {
    logger.atInfo().log("event=stopping in_flight=%d", callers.inFlight());
    callers.markNotReady();
    control.leave();
    waitForLoadBalancer(settings.stopUnreadyMillis());
    long limitNanos = TimeUnit.MILLISECONDS.toNanos(settings.stopLimitMillis());
    long stopNanos = control.clocks().nanos();
    boolean served = callers.stop(settings.stopLimitMillis());
    long leftNanos = limitNanos - (control.clocks().nanos() - stopNanos);
    boolean relayed = control.peerServer().awaitNoRelayed(TimeUnit.NANOSECONDS.toMillis(leftNanos));
    boolean completed = served && relayed;
    control.writeFinalRecord();
    control.close();
    logger.atInfo().log("event=stopped finished=%s", completed);
    // On its own, the JVM would exit with the code of the signal. Exit code 0 reports a stop that
    // completed in time.
    Runtime.getRuntime().halt(completed ? EXIT_COMPLETED : EXIT_TIMED_OUT);
  }

  /** Waits a fixed time, since the load balancer does not report that it has noticed the change. */
  private static void waitForLoadBalancer(long millis) {
    try {
      boolean unused = new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
