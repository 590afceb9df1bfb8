package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.ColdShare;
import org.magnoliaswitch.front.load.InstancePlace;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.version.RouteTable;

/** What this instance may send to servers whose caches are cold; used by one thread. */
public final class ColdSends {
  /** Shares kept: a share is looked up for each cold server in each search, and takes a while. */
  private static final int MOST_SHARES = 2_000;

  private final FrontSettings settings;
  private final Clocks clocks;
  private final AtomicReference<RouteTable> routes;
  private final InstanceCount instances;
  private final Map<String, ColdShare> shares = new HashMap<>();
  private Basis basis = new Basis(0, 0, Optional.empty());

  /** What shares are worked out from. */
  private record Basis(long routesVersion, int instances, Optional<InstancePlace> place) {}

  public ColdSends(
      FrontSettings settings,
      Clocks clocks,
      AtomicReference<RouteTable> routes,
      InstanceCount instances) {
    this.settings = settings;
    this.clocks = clocks;
    this.routes = routes;
    this.instances = instances;
  }

  /** How long servers of a service stay cold. */
  long spanNanos(String service) {
    return routes.get().warmup(service).spanNanos();
  }

  /** Whether this instance is one of those that send to a server while it is cold. */
  public boolean drawn(ServerState server) {
    return share(server).mostPerSecond() > 0;
  }

  /** Whether a request may be sent to a server now, as far as its caches decide it. */
  public boolean allowed(ServerState server) {
    long now = clocks.nanos();
    if (!server.cold(now)) {
      return true;
    }
    boolean limited = routes.get().warmup(server.entry().service()).limited();
    // An instance that knows of few others would take far too large a share.
    return (!limited || instances.settled()) && server.bears(share(server), now);
  }

  /** A connection could not be opened: whoever listens there next may have started anew. */
  public void unreachable(ServerState server) {
    server.assumeCold(spanNanos(server.entry().service()), clocks.nanos());
  }

  private ColdShare share(ServerState server) {
    Basis now = new Basis(routes.get().version(), instances.count(), instances.place());
    if (!now.equals(basis) || shares.size() >= MOST_SHARES) {
      shares.clear();
      basis = now;
    }
    return shares.computeIfAbsent(
        server.entry().incarnation(), incarnation -> share(server.entry().service(), incarnation));
  }

  private ColdShare share(String service, String incarnation) {
    return ColdShare.of(
        routes.get().warmup(service),
        settings.coldSends(),
        settings.instance(),
        incarnation,
        instances.count(),
        instances.place());
  }
}
