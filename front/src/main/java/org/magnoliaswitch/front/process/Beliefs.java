package org.magnoliaswitch.front.process;

import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Takes configuration and discovery from whoever has news, forwards only.
 *
 * <p>News may come late, twice, or from a peer that lags; only a higher version changes anything.
 * Safe for several threads.
 */
public final class Beliefs {
  private final AtomicReference<RouteTable> routes;
  private final AtomicReference<ServerList> servers = new AtomicReference<>(ServerList.EMPTY);
  private final ServerDirectory directory;
  private final Loop loop;
  private final EventLog log;

  public Beliefs(
      AtomicReference<RouteTable> routes, ServerDirectory directory, Loop loop, EventLog log) {
    this.routes = routes;
    this.directory = directory;
    this.loop = loop;
    this.log = log;
  }

  /** Puts a configuration in force if it is newer than the one in force. */
  public void offer(RouteTable next, String source) {
    RouteTable before =
        routes.getAndUpdate(current -> next.version() > current.version() ? next : current);
    if (next.version() > before.version()) {
      log.belief("configuration")
          .add("version", next.version())
          .add("before", before.version())
          .add("routes", next.routes().size())
          .add("source", source)
          .write();
    }
  }

  /** Puts a list of servers in force if it is newer than the one in force. */
  public void offer(ServerList next) {
    ServerList before =
        servers.getAndUpdate(current -> next.version() > current.version() ? next : current);
    if (next.version() > before.version()) {
      loop.execute(() -> directory.apply(next));
    }
  }

  /** Whether this instance knows enough to serve. */
  public boolean complete() {
    return routes.get().known() && servers.get().known();
  }

  /** Version of the configuration in force. */
  public long routesVersion() {
    return routes.get().version();
  }

  /** The list of servers in force. */
  public ServerList servers() {
    return servers.get();
  }
}
