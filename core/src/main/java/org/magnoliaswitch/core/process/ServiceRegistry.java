package org.magnoliaswitch.core.process;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.ConnectionPool;
import org.magnoliaswitch.core.connection.DirectDialer;
import org.magnoliaswitch.core.connection.ServerDialer;
import org.magnoliaswitch.core.version.BackendServer;
import org.magnoliaswitch.core.version.Profile;
import org.magnoliaswitch.core.version.Service;
import org.magnoliaswitch.core.version.Snapshot;

/**
 * The services in force, replaced as a whole by each version and each change of shares.
 *
 * <p>A request reads one immutable state and finishes with it; the handles of servers that remain
 * keep their load and connections.
 */
public final class ServiceRegistry {
  /**
   * Immutable state that requests read.
   *
   * @param snapshot configuration in force
   * @param services state by service name
   */
  public record State(Snapshot snapshot, Map<String, ServiceState> services) {
    public State {
      services = Map.copyOf(services);
    }

    /** Returns the service that covers a path. */
    public Optional<ServiceState> serviceOf(String path) {
      return snapshot.serviceOf(path).map(service -> services.get(service.name()));
    }

    /** Returns the handles of all servers of this instance's shares. */
    public Collection<ServerHandle> handles() {
      return services.values().stream().flatMap(s -> s.servers().stream()).toList();
    }
  }

  private final Clocks clocks;
  private final Membership membership;
  private final DialerFactory dialers;
  private volatile State state = new State(Snapshot.EMPTY, Map.of());

  /** Creates the dialers of servers. */
  @FunctionalInterface
  interface DialerFactory {
    /** Returns the dialer of a server of a service. */
    ServerDialer dialer(String service, BackendServer server);
  }

  /** Creates a registry whose connections are opened directly only. */
  public ServiceRegistry(Membership membership, Clocks clocks) {
    this(
        membership,
        clocks,
        (service, server) ->
            new DirectDialer(new InetSocketAddress(server.host(), server.port()), clocks));
  }

  /** Creates a registry. */
  ServiceRegistry(Membership membership, Clocks clocks, DialerFactory dialers) {
    this.dialers = dialers;
    this.membership = membership;
    this.clocks = clocks;
  }

  /** Returns the state in force. */
  public State state() {
    return state;
  }

  /** Puts a snapshot into force. */
  public synchronized void apply(Snapshot snapshot) {
    rebuild(snapshot);
  }

  /** Recomputes the shares; called when the number of instances has changed. */
  public synchronized void redistribute() {
    rebuild(state.snapshot());
  }

  private void rebuild(Snapshot snapshot) {
    State before = state;
    Map<String, ServerHandle> handles = new HashMap<>();
    before.handles().forEach(handle -> handles.put(handle.id(), handle));
    Membership.Rank rank = membership.rank();
    Map<String, ServiceState> services = new HashMap<>();
    for (Service service : snapshot.services().values()) {
      Optional<ServiceState> old = Optional.ofNullable(before.services().get(service.name()));
      services.put(service.name(), build(service, snapshot.profileOf(service), old, handles, rank));
    }
    state = new State(snapshot, services);
    closeRemoved(before, state);
  }

  private ServiceState build(
      Service service,
      Profile profile,
      Optional<ServiceState> old,
      Map<String, ServerHandle> handles,
      Membership.Rank rank) {
    List<BackendServer> share = ServerShare.select(service.servers(), rank);
    List<ServerHandle> servers = new ArrayList<>();
    for (BackendServer server : share) {
      int connections =
          ServerShare.connections(server, service.servers().size(), share.size(), rank.size());
      servers.add(handle(service, server, handles.get(server.id()), connections));
    }
    ServiceAdmission admission = admission(profile, old, share, rank);
    ServiceState.Counters counters =
        old.map(ServiceState::counters).orElseGet(ServiceState.Counters::new);
    return new ServiceState(service, profile, servers, admission, counters);
  }

  private ServerHandle handle(
      Service service,
      BackendServer server,
      @org.jspecify.annotations.Nullable ServerHandle old,
      int connections) {
    boolean sameAddress =
        old != null
            && old.server().host().equals(server.host())
            && old.server().port() == server.port();
    if (old != null && sameAddress) {
      old.pool().limit(connections);
      return new ServerHandle(server, old.load(), old.pool());
    }
    ServerDialer dialer = dialers.dialer(service.name(), server);
    return new ServerHandle(
        server,
        new ServerLoad(server, clocks.nanos()),
        new ConnectionPool(dialer, connections, clocks));
  }

  private ServiceAdmission admission(
      Profile profile,
      Optional<ServiceState> old,
      List<BackendServer> share,
      Membership.Rank rank) {
    double slots = share.stream().mapToInt(BackendServer::slots).sum();
    double maxWindow = slots * profile.admission().loadPerSlot();
    boolean keep =
        old.isPresent()
            && old.get().profile().admission().equals(profile.admission())
            && old.get().profile().kinds().equals(profile.kinds());
    ServiceAdmission admission =
        keep
            ? old.get().admission()
            : new ServiceAdmission(
                profile.admission(), profile.kinds(), maxWindow / Math.max(1, rank.size()), clocks);
    admission.limitWindow(maxWindow);
    return admission;
  }

  private static void closeRemoved(State before, State after) {
    Map<String, ServerHandle> kept = new HashMap<>();
    after.handles().forEach(handle -> kept.put(handle.id(), handle));
    for (ServerHandle handle : before.handles()) {
      ServerHandle now = kept.get(handle.id());
      if (now == null || now.pool() != handle.pool()) {
        handle.pool().closeIdle();
      }
    }
  }
}
