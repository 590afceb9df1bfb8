package org.magnoliaswitch.front.process;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.load.ServerState;

/** Tells what backend servers ask of their callers, whenever it changes; used by one thread. */
public final class ServerNotices {
  private final EventLog log;
  private final FrontMetrics metrics;
  private final Map<ServerState, ServerNotice> last = new WeakHashMap<>();

  public ServerNotices(EventLog log, FrontMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /** Takes the notice in an answer of a server. */
  public void take(ServerState server, ServerNotice notice) {
    ServerNotice before = last.getOrDefault(server, ServerNotice.NONE);
    if (notice.equals(before)) {
      return;
    }
    last.put(server, notice);
    if (notice.leaving() && !before.leaving()) {
      tell("server_leaving", server).write();
    }
    if (!notice.requestsPerSecond().equals(before.requestsPerSecond())) {
      tellLimit(server, notice.requestsPerSecond());
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
