package org.magnoliaswitch.front.process;

import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Holds the newest known configuration, evacuations and list of servers, whichever source they come
 * from.
 *
 * <p>Updates may arrive late, twice or from a peer that lags behind; only a higher version or
 * revision has an effect. Thread-safe.
 */
public final class KnownState {
  private final AtomicReference<RouteTable> routes;
  private final AtomicReference<ServerList> servers = new AtomicReference<>(ServerList.EMPTY);
  private final AtomicReference<Evacuations> evacuations =
      new AtomicReference<>(Evacuations.UNKNOWN);
  private final ServerDirectory directory;
  private final Loop loop;
  private final EventLog log;

  public KnownState(
      AtomicReference<RouteTable> routes, ServerDirectory directory, Loop loop, EventLog log) {
    this.routes = routes;
    this.directory = directory;
    this.loop = loop;
    this.log = log;
  }

  /** Applies a configuration if it is newer than the one in force; returns whether it is. */
  public boolean offer(RouteTable next, String source) {
    RouteTable before =
        routes.getAndUpdate(current -> next.version() > current.version() ? next : current);
    if (next.version() > before.version()) {
      log.stateChange("configuration")
          .add("version", next.version())
          .add("before", before.version())
          .add("routes", next.routes().size())
          .add("source", source)
          .write();
      return true;
    }
    return false;
  }

  /**
   * Applies evacuations if they are newer than those in force; returns whether the set of evacuated
   * data centres has changed.
   */
  public boolean offer(Evacuations next, String source) {
    Evacuations before =
        evacuations.getAndUpdate(
            current -> next.revision().newerThan(current.revision()) ? next : current);
    if (!next.revision().newerThan(before.revision())) {
      return false;
    }
    boolean changed = !next.dataCentres().equals(before.dataCentres());
    if (changed) {
      log.stateChange("evacuations")
          .add("data_centres", names(next))
          .add("before", names(before))
          .add("read_as_of", next.revision().toString())
          .add("source", source)
          .write();
    }
    // The same set in a later epoch is declared there too, and is not lost when it ends there.
    boolean restored = next.revision().epoch() > before.revision().epoch();
    if (changed || restored || !before.known()) {
      loop.execute(() -> directory.evacuate(next));
    }
    return changed;
  }

  private static String names(Evacuations evacuations) {
    return evacuations.dataCentres().isEmpty()
        ? "none"
        : String.join("/", new TreeSet<>(evacuations.dataCentres()));
  }

  /** Applies a list of servers if it is newer than the one in force. */
  public void offer(ServerList next) {
    ServerList before =
        servers.getAndUpdate(
            current -> next.revision().newerThan(current.revision()) ? next : current);
    if (next.revision().newerThan(before.revision())) {
      loop.execute(() -> directory.apply(next));
    }
  }

  /**
   * Whether configuration, servers and evacuations are known, so that this instance can serve
   * callers.
   */
  public boolean complete() {
    return routes.get().known() && servers.get().known() && evacuations.get().known();
  }

  /** The configuration in force. */
  public RouteTable routes() {
    return routes.get();
  }

  /** Version of the configuration in force. */
  public long routesVersion() {
    return routes.get().version();
  }

  /** The evacuated data centres. */
  public Evacuations evacuations() {
    return evacuations.get();
  }

  /** The list of servers in force. */
  public ServerList servers() {
    return servers.get();
  }
}
