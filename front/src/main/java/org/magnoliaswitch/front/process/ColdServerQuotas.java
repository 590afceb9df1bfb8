package org.magnoliaswitch.front.process;

import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.ColdShare;
import org.magnoliaswitch.front.load.SenderSelection;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.Warmup;

/** Limits the requests of this instance to servers whose caches are cold; used by one thread. */
public final class ColdServerQuotas {
  private final FrontSettings settings;
  private final Clocks clocks;
  private final AtomicReference<RouteTable> routes;
  private final InstanceCount instances;
  private final ShareCache<ColdServer, ColdShare> shares;

  /**
   * What a share depends on: the incarnation of the server and the warm-up limits of its service.
   */
  private record ColdServer(String incarnation, Warmup warmup) {}

  public ColdServerQuotas(
      FrontSettings settings,
      Clocks clocks,
      AtomicReference<RouteTable> routes,
      InstanceCount instances) {
    this.settings = settings;
    this.clocks = clocks;
    this.routes = routes;
    this.instances = instances;
    this.shares = new ShareCache<>(instances, this::share);
  }

  /** Returns how long a server of the service stays cold after it has started. */
  long warmupNanos(String service) {
    return routes.get().warmup(service).durationNanos();
  }

  /**
   * Whether this instance may send to a server while it is cold: if the service has warm-up limits,
   * only the selected instances may. Does not depend on whether the server is cold now.
   */
  public boolean selected(ServerState server) {
    return share(server).maxPerSecond() > 0;
  }

  /** Whether the warm-up limits of a server permit a request now. */
  public boolean allowed(ServerState server) {
    long now = clocks.nanos();
    if (!server.cold(now)) {
      return true;
    }
    boolean limited = routes.get().warmup(server.entry().service()).limited();
    // An instance that knows only a few others yet would compute far too large a share.
    return (!limited || instances.settled()) && server.withinColdShare(share(server), now);
  }

  /**
   * Treats a server to which no connection could be opened as cold: the process that listens there
   * next may have just started.
   */
  public void assumeCold(ServerState server) {
    server.assumeCold(warmupNanos(server.entry().service()), clocks.nanos());
  }

  private ColdShare share(ServerState server) {
    Warmup warmup = routes.get().warmup(server.entry().service());
    return shares.get(new ColdServer(server.entry().incarnation(), warmup));
  }

  private ColdShare share(ColdServer server) {
    SenderSelection selection = instances.selectSenders(settings.instance(), server.incarnation());
    return ColdShare.of(server.warmup(), settings.coldServerBounds(), selection);
  }
}
