package org.magnoliaswitch.front.testing;

import org.magnoliaswitch.front.load.LoadSample;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.PlacementContext;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.ServiceLoad;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.version.ServerEntry;

/** Factories of backend servers for tests of load decisions. */
public final class Servers {
  /** Slots of each server. */
  public static final int SLOTS = 6;

  private Servers() {}

  /** A discovery entry of a warm server. */
  public static ServerEntry entry(String id, boolean draining) {
    return new ServerEntry(id, 0, "s", "127.0.0.1", 1, "here", SLOTS, draining, 0);
  }

  /** The entry of the same server after a restart, neither draining nor warming up. */
  public static ServerEntry restarted(ServerEntry before) {
    return new ServerEntry(
        before.id(),
        before.startedMillis() + 1,
        before.service(),
        before.host(),
        before.port(),
        before.dataCentre(),
        before.slots(),
        false,
        0);
  }

  /** The context of a placement decision for a request without a time limit. */
  public static PlacementContext context(Timeliness timeliness, ServiceLoad load, long nowNanos) {
    return context(1, Long.MAX_VALUE, timeliness, load, nowNanos);
  }

  /** The context of a placement decision at an instance in the servers' data centre. */
  public static PlacementContext context(
      double expectedNanos,
      long allowedNanos,
      Timeliness timeliness,
      ServiceLoad load,
      long nowNanos) {
    return new PlacementContext(
        expectedNanos, allowedNanos, timeliness, load, "here", Mechanisms.ALL, nowNanos);
  }

  /** A server that has just reported its load. */
  public static ServerState reporting(String id, int running, double slowness, long nowNanos) {
    ServerState state = new ServerState(entry(id, false), nowNanos);
    state.recordSample(new LoadSample(running, 0, SLOTS, slowness), 0, nowNanos);
    state.idleConnections(1);
    return state;
  }
}
