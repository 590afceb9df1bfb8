package org.magnoliaswitch.entry;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.process.ControlPlane;

/**
 * Stops an entry without cutting a request.
 *
 * <p>First it says that it is not ready, and goes on serving until the balancer in front has
 * noticed; each answer then asks the caller to close its connection. Then it accepts no more,
 * finishes what is in flight, tells peers and writes the last outcome record.
 */
final class GracefulStop {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int STOPPED = 0;
  private static final int LIMIT_REACHED = 1;

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
    callers.unready();
    control.leave();
    await(settings.stopUnreadyMillis());
    boolean finished = callers.stop(settings.stopLimitMillis());
    control.writeFinalRecord();
    control.close();
    logger.atInfo().log("event=stopped finished=%s", finished);
    // The Java machine would end with the signal's code; an orderly stop is told by 0.
    Runtime.getRuntime().halt(finished ? STOPPED : LIMIT_REACHED);
  }

  /** The only thing to wait for is the balancer, which tells nobody that it has noticed. */
  private static void await(long millis) {
    try {
      boolean unused = new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
