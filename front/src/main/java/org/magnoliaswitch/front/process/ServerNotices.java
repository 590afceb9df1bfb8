package org.magnoliaswitch.front.process;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.Backpressure;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.load.ServerState;

/**
 * Applies the backpressure notices of backend servers and logs their changes; used by one thread.
 */
public final class ServerNotices {
  private final ServerDirectory servers;
  private final Clocks clocks;
  private final EventLog log;
  private final FrontMetrics metrics;

  public ServerNotices(ServerDirectory servers, Clocks clocks, EventLog log, FrontMetrics metrics) {
    this.servers = servers;
    this.clocks = clocks;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Applies the notice in the response to a request that the server has executed.
   *
   * @param sentNanos when the request was sent
   */
  public void answered(ServerState server, ServerNotice notice, long sentNanos) {
    Before before = new Before(server.backpressure());
    server.backpressure().recordAnswer(notice, sentNanos, clocks.nanos());
    handleChanges(server, notice, before);
  }

  /** Applies the notice in the response to a health check or to a rejected request. */
  public void received(ServerState server, ServerNotice notice) {
    Before before = new Before(server.backpressure());
    server.backpressure().recordNotice(notice, clocks.nanos());
    handleChanges(server, notice, before);
  }

  /** Backpressure of a server before a notice is applied. */
  private record Before(boolean leaving, OptionalDouble limit) {
    Before(Backpressure backpressure) {
      this(backpressure.leaving(), backpressure.requestsPerSecond());
    }
  }

  private void handleChanges(ServerState server, ServerNotice notice, Before before) {
    OptionalDouble limit = server.backpressure().requestsPerSecond();
    if (!limit.equals(before.limit())) {
      logLimit(server, limit);
    }
    if (server.backpressure().leaving() && !before.leaving()) {
      servers.handleLeaving(server);
      line("server_leaving", server).write();
    }
    if (notice.pauseNanos() > 0) {
      servers.handlePause();
      line("server_pause", server)
          .add("pause_ms", TimeUnit.NANOSECONDS.toMillis(notice.pauseNanos()))
          .write();
    }
  }

  private void logLimit(ServerState server, OptionalDouble perSecond) {
    if (perSecond.isPresent()) {
      line("server_limit", server).addDecimal("per_second", perSecond.getAsDouble()).write();
    } else {
      line("server_limit_lifted", server).write();
    }
  }

  private EventLog.Line line(String event, ServerState server) {
    metrics.count("server.notices", server.entry().service(), event);
    return log.stateChange(event)
        .add("server", server.entry().id())
        .add("service", server.entry().service());
  }
}
