package org.magnoliaswitch.front.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.connection.ServerConnector;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;

/** The backend servers of all services with their state and connections; used by one thread. */
public final class ServerDirectory {
  /** Idle connections are closed by this instance after this time at the latest. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Servers new in one list that get a log line each. */
  private static final int MOST_TOLD_SINGLY = 4;

  private final ServerConnector connector;
  private final Clocks clocks;
  private final EventLog log;
  private final ColdServerQuotas coldServers;
  private final Map<String, ServerPool> byId = new HashMap<>();
  private final ServerGroups groups;
  private final BackpressureMemory backpressure = new BackpressureMemory();
  private ServerList current = ServerList.EMPTY;
  private Set<String> evacuated = Set.of();

  /** Creates an empty directory. */
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
  }

  /** Whether a list has been received. */
  public boolean known() {
    return current.known();
  }

  /** Version of the list in force. */
  public long version() {
    return current.version();
  }

  /** The servers of a service, those that leave included; of a large service a part. */
  public List<ServerPool> of(String service) {
    return groups.of(service);
  }

  /** Share of a service's servers that this instance sends to, as do others of theirs. */
  public double subsetShare(String service) {
    return groups.subsetShare(service);
  }

  /** The connections to a server; a server that has left since keeps a pool of its own. */
  public ServerPool poolOf(ServerState state) {
    ServerPool pool = byId.get(state.entry().id());
    return pool != null && pool.state() == state ? pool : new ServerPool(state, connector, clocks);
  }

  /** All servers. */
  public Collection<ServerPool> all() {
    return byId.values();
  }

  /** Puts a list in force; one that is not newer changes nothing. */
  public void apply(ServerList next) {
    if (next.version() <= current.version()) {
      return;
    }
    current = next;
    long now = clocks.nanos();
    List<ServerEntry> learnt = new ArrayList<>();
    for (ServerEntry entry : next.servers().values()) {
      if (!byId.containsKey(entry.id())) {
        learnt.add(entry);
      }
      take(entry, now);
    }
    tellLearnt(learnt);
    dropMissing();
    groups.form(byId.values());
  }

  /**
   * Sends nothing more to the servers of the evacuated data centres, and again to those of others.
   * Their work was taken away, so their caches count as cold until they say otherwise.
   */
  public void evacuate(Evacuations next) {
    evacuated = next.dataCentres();
    for (ServerPool pool : byId.values()) {
      ServerState state = pool.state();
      boolean before = state.evacuated();
      state.evacuated(evacuated.contains(state.entry().dataCentre()));
      if (state.evacuated()) {
        pool.closeIdle();
      } else if (before) {
        state.assumeCold(coldServers.spanNanos(state.entry().service()), clocks.nanos());
      }
    }
    groups.form(byId.values());
  }

  /** Closes connections that the servers would soon close themselves. */
  public void sweep() {
    byId.values().forEach(pool -> pool.sweep(MAX_IDLE_NANOS));
    replaceUnavailable();
  }

  private void replaceUnavailable() {
    if (groups.outdated(byId.values())) {
      groups.form(byId.values());
    }
  }

  /**
   * Notes that no connection to a server could be opened. Others take its place for a while, and
   * whoever listens there next may have started anew.
   */
  public void recordUnreachable(ServerState state) {
    recordFailure(state, "unreachable");
    coldServers.unreachable(state);
    state.markUnreachable(clocks.nanos());
    replaceUnavailable();
  }

  /** A server has said that it leaves: nothing new goes there, and others take its place. */
  void leaving(ServerState state) {
    poolOf(state).closeIdle();
    groups.form(byId.values());
  }

  /** A server has asked for a pause: others take its place meanwhile. */
  void paused() {
    replaceUnavailable();
  }

  /** Notes a failure of a server, and tells when it makes the server suspect. */
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

  /** Notes a whole answer, and tells when a suspect server is trusted again. */
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

  /** Takes one entry; that of an earlier incarnation, written or read late, changes nothing. */
  private void take(ServerEntry entry, long now) {
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
    ServerState state = new ServerState(entry, backpressure.of(entry), now);
    state.evacuated(evacuated.contains(entry.dataCentre()));
    return new ServerPool(state, connector, clocks);
  }

  private void update(ServerPool known, ServerEntry entry, long now) {
    if (entry.draining() && !known.state().entry().draining()) {
      told("server_draining", entry);
    }
    known.state().update(entry, now);
    if (entry.draining()) {
      known.closeIdle();
    }
  }

  /**
   * A server has started again under its id. Its kept connections are dead, and its failures, load
   * and departure were those of a process that is gone: callers would be refused for seconds while
   * an idle server stands by. Attempts under way keep the old state, so their end counts there.
   */
  private void restarted(ServerPool known, ServerEntry entry, long now) {
    leave(known);
    byId.put(entry.id(), newPool(entry, now));
    told("server_restarted", entry);
  }

  /** Nothing more goes there, also from requests that wait in line and still hold the state. */
  private static void leave(ServerPool pool) {
    pool.state().markRemoved();
    pool.closeIdle();
  }

  /**
   * A few are told one by one, many together: at a start a line a server would be written while
   * callers wait.
   */
  private void tellLearnt(List<ServerEntry> learnt) {
    if (learnt.size() <= MOST_TOLD_SINGLY) {
      learnt.forEach(entry -> told("server_learnt", entry));
    } else {
      log.stateChange("servers_learnt")
          .add("count", learnt.size())
          .add("known", byId.size())
          .add("list", current.version())
          .write();
    }
  }

  private void told(String event, ServerEntry entry) {
    log.stateChange(event)
        .add("server", entry.id())
        .add("service", entry.service())
        .add("list", current.version())
        .write();
  }

  private void dropMissing() {
    Iterator<ServerPool> pools = byId.values().iterator();
    while (pools.hasNext()) {
      ServerPool pool = pools.next();
      ServerEntry entry = pool.state().entry();
      if (!current.servers().containsKey(entry.id())) {
        pools.remove();
        backpressure.keep(pool.state());
        leave(pool);
        told("server_gone", entry);
      }
    }
  }
}
