package org.magnoliaswitch.front.process;

import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.ColdShare;
import org.magnoliaswitch.front.load.SenderSelection;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.Warmup;

/** What this instance may send to servers whose caches are cold; used by one thread. */
public final class ColdServerQuotas {
  private final FrontSettings settings;
  private final Clocks clocks;
  private final AtomicReference<RouteTable> routes;
  private final InstanceCount instances;
  private final ShareCache<Cold, ColdShare> shares;

  /** A server and what its service's servers bear while they are cold. */
  private record Cold(String incarnation, Warmup warmup) {}

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

  /** How long servers of a service stay cold. */
  long spanNanos(String service) {
    return routes.get().warmup(service).spanNanos();
  }

  /** Whether this instance is one of those that send to a server while it is cold. */
  public boolean drawn(ServerState server) {
    return share(server).maxPerSecond() > 0;
  }

  /** Whether a request may be sent to a server now, as far as its caches decide it. */
  public boolean allowed(ServerState server) {
    long now = clocks.nanos();
    if (!server.cold(now)) {
      return true;
    }
    boolean limited = routes.get().warmup(server.entry().service()).limited();
    // An instance that knows of few others would take far too large a share.
    return (!limited || instances.settled()) && server.withinColdShare(share(server), now);
  }

  /** A connection could not be opened: whoever listens there next may have started anew. */
  public void unreachable(ServerState server) {
    server.assumeCold(spanNanos(server.entry().service()), clocks.nanos());
  }

  private ColdShare share(ServerState server) {
    Warmup warmup = routes.get().warmup(server.entry().service());
    return shares.of(new Cold(server.entry().incarnation(), warmup));
  }

  private ColdShare share(Cold cold) {
    SenderSelection selection = instances.draw(settings.instance(), cold.incarnation());
    return ColdShare.of(cold.warmup(), settings.coldServerBounds(), selection);
  }
}
