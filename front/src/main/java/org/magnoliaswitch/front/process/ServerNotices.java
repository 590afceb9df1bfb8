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
   * Takes the notice in the answer to a request that the server has run.
   *
   * @param sentNanos when the request was sent
   */
  public void answered(ServerState server, ServerNotice notice, long sentNanos) {
    Before before = new Before(server.backpressure());
    server.backpressure().recordAnswer(notice, sentNanos, clocks.nanos());
    taken(server, notice, before);
  }

  /** Takes the notice in the answer to a health check or to a request that was turned away. */
  public void received(ServerState server, ServerNotice notice) {
    Before before = new Before(server.backpressure());
    server.backpressure().recordNotice(notice, clocks.nanos());
    taken(server, notice, before);
  }

  /** What a server asked for before an answer. */
  private record Before(boolean leaving, OptionalDouble limit) {
    Before(Backpressure backpressure) {
      this(backpressure.leaving(), backpressure.requestsPerSecond());
    }
  }

  private void taken(ServerState server, ServerNotice notice, Before before) {
    OptionalDouble limit = server.backpressure().requestsPerSecond();
    if (!limit.equals(before.limit())) {
      tellLimit(server, limit);
    }
    if (server.backpressure().leaving() && !before.leaving()) {
      servers.leaving(server);
      tell("server_leaving", server).write();
    }
    if (notice.pauseNanos() > 0) {
      servers.paused();
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
    return log.stateChange(event)
        .add("server", server.entry().id())
        .add("service", server.entry().service());
  }
}
