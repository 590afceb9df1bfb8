package org.magnoliaswitch.front.process;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.Backpressure;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.load.ServerState;

/**
 * Takes what backend servers ask of their callers, and tells when it changes; used by one thread.
 */
public final class ServerNotices {
  private final Clocks clocks;
  private final EventLog log;
  private final FrontMetrics metrics;

  public ServerNotices(Clocks clocks, EventLog log, FrontMetrics metrics) {
    this.clocks = clocks;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Takes the notice in the answer to a request.
   *
   * @param sentNanos when the request was sent
   */
  public void answered(ServerState server, ServerNotice notice, long sentNanos) {
    Backpressure backpressure = server.backpressure();
    OptionalDouble limit = backpressure.requestsPerSecond();
    backpressure.answered(notice, sentNanos, clocks.nanos());
    tellChanges(server, notice, limit);
  }

  /**
   * Takes the notice in the answer to a health check.
   *
   * @param sentNanos when the check was sent
   */
  public void checked(ServerState server, ServerNotice notice, long sentNanos) {
    Backpressure backpressure = server.backpressure();
    OptionalDouble limit = backpressure.requestsPerSecond();
    backpressure.checked(notice, sentNanos, clocks.nanos());
    tellChanges(server, notice, limit);
  }

  private void tellChanges(ServerState server, ServerNotice notice, OptionalDouble limitBefore) {
    OptionalDouble limit = server.backpressure().requestsPerSecond();
    if (!limit.equals(limitBefore)) {
      tellLimit(server, limit);
    }
    if (notice.leaving()) {
      tell("server_leaving", server).write();
    }
    if (notice.pauseNanos() > 0) {
      tell("server_pause", server)
          .add("pause_ms", TimeUnit.NANOSECONDS.toMillis(notice.pauseNanos()))
          .write();
    }
  }

  private void tellLimit(ServerState server, OptionalDouble perSecond) {
    if (perSecond.isPresent()) {
      tell("server_limit", server).addDecimal("per_second", perSecond.getAsDouble()).write();
    } else {
      tell("server_limit_lifted", server).write();
    }
  }

  private EventLog.Line tell(String event, ServerState server) {
    metrics.count("server.notices", server.entry().service(), event);
    return log.belief(event)
        .add("server", server.entry().id())
        .add("service", server.entry().service());
  }
}
