package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.connection.ServerConnector;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.relay.RelayListener;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;

/** The backend servers of all services with their state and connections; used by one thread. */
public final class ServerDirectory implements RelayListener.Targets {
  /** Maximum time for which this instance keeps an idle connection open. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Maximum number of new servers in one list that are logged individually. */
  private static final int MAX_LOGGED_INDIVIDUALLY = 4;

  private final ServerConnector connector;
  private final Clocks clocks;
  private final EventLog log;
  private final ColdServerQuotas coldServers;
  private final Map<String, ServerPool> byId = new HashMap<>();
  private final ServerGroups groups;
  private final ServiceReach reach;
  private final BackpressureMemory backpressure = new BackpressureMemory();
  private final DepartedServers departed = new DepartedServers();
  private final Map<String, Long> heldBackUntilNanos = new HashMap<>();
  private final EvacuationState evacuations = new EvacuationState();
  private ServerList current = ServerList.EMPTY;

  /** Whether the list in force is the first one since the source was restored from a copy. */
  private boolean restored;

  public ServerDirectory(
      ServerConnector connector,
      Clocks clocks,
      EventLog log,
      FrontSettings settings,
      InstanceCount instances,
      ColdServerQuotas coldServers) {
    this.connector = connector;
    this.clocks = clocks;
    this.log = log;
    this.coldServers = coldServers;
    this.groups = new ServerGroups(settings, clocks, instances, coldServers);
    this.reach = new ServiceReach(groups::of, clocks);
  }

  /** Whether a list has been received. */
  public boolean known() {
    return current.known();
  }

  /** Revision of the list in force. */
  public Revision revision() {
    return current.revision();
  }

  /**
   * Returns the servers of a service, including leaving ones; for a large service only a subset.
   */
  public List<ServerPool> of(String service) {
    return groups.of(service);
  }

  /**
   * Returns the share of a service's servers that this instance sends to; the subsets of other
   * instances have the same size.
   */
  public double subsetShare(String service) {
    return groups.subsetShare(service);
  }

  /**
   * Returns the connection pool of a server; a server that has left since gets a pool of its own.
   */
  public ServerPool poolOf(ServerState state) {
    ServerPool pool = byId.get(state.entry().id());
    return pool != null && pool.state() == state ? pool : new ServerPool(state, connector, clocks);
  }

  /** Checks whether services are in reach of this instance. */
  public ServiceReach reach() {
    return reach;
  }

  /** Returns the pools of all servers. */
  public Collection<ServerPool> all() {
    return byId.values();
  }

  @Override
  public Optional<RelayListener.Target> find(String serverId) {
    ServerPool pool = byId.get(serverId);
    if (pool == null || !pool.state().acceptsWork()) {
      return Optional.empty();
    }
    ServerEntry entry = pool.state().entry();
    return connector.paths().lost(entry.service())
        ? Optional.empty()
        : Optional.of(
            new RelayListener.Target(
                new InetSocketAddress(entry.host(), entry.port()), entry.service()));
  }

  /** Applies a list; a list that is not newer has no effect. */
  public void apply(ServerList next) {
    if (!next.revision().newerThan(current.revision())) {
      return;
    }
    restored = next.revision().epoch() > current.revision().epoch();
    current = next;
    long now = clocks.nanos();
    List<ServerEntry> added = new ArrayList<>();
    for (ServerEntry entry : next.servers().values()) {
      if (!byId.containsKey(entry.id())) {
        added.add(entry);
      }
      applyEntry(entry, now);
    }
    logAdded(added);
    removeMissing();
    groups.rebuild(byId.values());
  }

  /**
   * Stops sending to servers in evacuated data centres and resumes sending to those in reinstated
   * ones. Reinstated servers had no work meanwhile, so their caches count as cold until they report
   * otherwise.
   */
  public void evacuate(Evacuations next) {
    int kept = evacuations.apply(next, clocks.nanos());
    if (kept > 0) {
      log.stateChange("evacuations_kept")
          .add("count", kept)
          .add("read_as_of", next.revision().toString())
          .write();
    }
    applyEvacuations();
  }

  private void applyEvacuations() {
    for (ServerPool pool : byId.values()) {
      ServerState state = pool.state();
      boolean before = state.evacuated();
      state.evacuated(evacuations.evacuated(state.entry().dataCentre()));
      if (state.evacuated()) {
        pool.closeIdle();
      } else if (before) {
        state.assumeCold(coldServers.warmupNanos(state.entry().service()), clocks.nanos());
      }
    }
    groups.rebuild(byId.values());
  }

  /**
   * Closes idle connections that their servers would soon close, and selects servers anew if other
   * servers are unavailable than before.
   */
  public void sweep() {
    long now = clocks.nanos();
    byId.values().forEach(pool -> pool.sweep(MAX_IDLE_NANOS));
    departed.removeExpired(now);
    releaseHeldBack(now);
    if (evacuations.removeExpired(now)) {
      applyEvacuations();
    }
    replaceUnavailable();
  }

  /**
   * Sends nothing to a server whose departure the source has lost, until it must have repeated it.
   */
  private void holdBack(ServerState state, long now) {
    state.heldBack(true);
    heldBackUntilNanos.put(state.entry().id(), now + DepartedServers.HOLD_NANOS);
    logChange("server_held_back", state.entry());
  }

  private void releaseHeldBack(long now) {
    boolean released = false;
    Iterator<Map.Entry<String, Long>> held = heldBackUntilNanos.entrySet().iterator();
    while (held.hasNext()) {
      Map.Entry<String, Long> next = held.next();
      if (now - next.getValue() >= 0) {
        held.remove();
        byId.get(next.getKey()).state().heldBack(false);
        released = true;
      }
    }
    if (released) {
      groups.rebuild(byId.values());
    }
  }

  private void replaceUnavailable() {
    if (groups.outdated(byId.values())) {
      groups.rebuild(byId.values());
    }
  }

  /**
   * Records that no connection to a server could be opened. Other servers replace it for a while,
   * and it counts as cold, since the process that listens there next may have just started.
   */
  public void recordUnreachable(ServerState state) {
    recordFailure(state, "unreachable");
    coldServers.assumeCold(state);
    state.markUnreachable(clocks.nanos());
    replaceUnavailable();
  }

  /**
   * Handles a server's announcement that it is leaving: it receives no new requests, and others
   * replace it.
   */
  void handleLeaving(ServerState state) {
    poolOf(state).closeIdle();
    groups.rebuild(byId.values());
  }

  /** Handles a server's request for a pause: others replace it meanwhile. */
  void handlePause() {
    replaceUnavailable();
  }

  /** Records a failure of a server and logs if it makes the server suspect. */
  public void recordFailure(ServerState state, String reason) {
    long now = clocks.nanos();
    boolean before = state.suspect(now);
    state.recordFailure(now);
    if (!before && state.suspect(now)) {
      log.stateChange("server_suspect")
          .add("server", state.entry().id())
          .add("service", state.entry().service())
          .addDecimal("failure_share", state.failureShare(now))
          .add("reason", reason)
          .write();
    }
  }

  /** Records a complete response and logs if it makes a suspect server trusted again. */
  public void recordSuccess(ServerState state, double ratioToExpected) {
    long now = clocks.nanos();
    boolean before = state.suspect(now);
    state.recordSuccess(ratioToExpected, now);
    if (before && !state.suspect(now)) {
      log.stateChange("server_trusted")
          .add("server", state.entry().id())
          .add("service", state.entry().service())
          .addDecimal("failure_share", state.failureShare(now))
          .write();
    }
  }

  /** Applies one entry; an entry of an earlier incarnation, written or read late, has no effect. */
  private void applyEntry(ServerEntry entry, long now) {
    ServerPool known = byId.get(entry.id());
    if (known == null) {
      byId.put(entry.id(), newPool(entry, now));
      return;
    }
    ServerEntry before = known.state().entry();
    if (entry.replaces(before)) {
      restarted(known, entry, now);
    } else if (!before.replaces(entry)) {
      update(known, entry, now);
    }
  }

  private ServerPool newPool(ServerEntry entry, long now) {
    ServerState state = new ServerState(entry, backpressure.take(entry), now);
    state.evacuated(evacuations.evacuated(entry.dataCentre()));
    // Later lists of an epoch add only entries that were written after the restore.
    if (restored && departed.contains(entry)) {
      holdBack(state, now);
    }
    return new ServerPool(state, connector, clocks);
  }

  private void update(ServerPool known, ServerEntry entry, long now) {
    boolean draining = known.state().entry().draining();
    if (entry.draining() && !draining) {
      logChange("server_draining", entry);
    }
    known.state().update(entry, now);
    if (restored && draining && !entry.draining()) {
      holdBack(known.state(), now);
    }
    if (entry.draining()) {
      known.closeIdle();
    }
  }

  /**
   * Replaces the state of a server that has restarted under its id. Its pooled connections are
   * dead, and its failures, load and departure belong to a process that has exited: with that
   * state, callers would be rejected for seconds while the server is idle. Attempts in progress
   * keep the old state, so their results count there.
   */
  private void restarted(ServerPool known, ServerEntry entry, long now) {
    retire(known);
    heldBackUntilNanos.remove(entry.id());
    byId.put(entry.id(), newPool(entry, now));
    logChange("server_restarted", entry);
  }

  /** Stops all requests to a server, including queued requests that still hold its state. */
  private static void retire(ServerPool pool) {
    pool.state().markRemoved();
    pool.closeIdle();
  }

  /**
   * Logs a few new servers individually and many with one line: at a start, one line per server
   * would be written while callers wait.
   */
  private void logAdded(List<ServerEntry> added) {
    if (added.size() <= MAX_LOGGED_INDIVIDUALLY) {
      added.forEach(entry -> logChange("server_learnt", entry));
    } else {
      log.stateChange("servers_learnt")
          .add("count", added.size())
          .add("known", byId.size())
          .add("list", current.revision().toString())
          .write();
    }
  }

  private void logChange(String event, ServerEntry entry) {
    log.stateChange(event)
        .add("server", entry.id())
        .add("service", entry.service())
        .add("list", current.revision().toString())
        .write();
  }

  private void removeMissing() {
    Iterator<ServerPool> pools = byId.values().iterator();
    while (pools.hasNext()) {
      ServerPool pool = pools.next();
      ServerEntry entry = pool.state().entry();
      if (!current.servers().containsKey(entry.id())) {
        pools.remove();
        heldBackUntilNanos.remove(entry.id());
        departed.record(entry, clocks.nanos());
        backpressure.store(pool.state());
        retire(pool);
        logChange("server_gone", entry);
      }
    }
  }
}
