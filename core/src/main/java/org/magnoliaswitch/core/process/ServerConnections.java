package org.magnoliaswitch.core.process;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.ServerDialer;
import org.magnoliaswitch.core.connection.SocketConnector;
import org.magnoliaswitch.core.peer.PeerMessage.ServerOpened.Status;
import org.magnoliaswitch.core.peer.ServerRelay;
import org.magnoliaswitch.core.version.BackendServer;
import org.magnoliaswitch.core.version.ServerState;
import org.magnoliaswitch.core.version.Service;

/**
 * Opens connections to backend servers: directly, and through a peer where that fails or takes
 * long; and directly on behalf of peers. Thread-safe.
 */
public final class ServerConnections implements ServerRelay {
  private static final int DIAL_FOR_PEER_MILLIS = 100;
  private static final int TRIAL_MILLIS = 200;

  private final ControlState state;
  private final PeerRelays relays;
  private final SocketConnector connector;
  private final Clocks clocks;
  private final Supplier<ServiceRegistry> registry;
  private final ServicePaths paths = new ServicePaths();

  /**
   * Creates the connections.
   *
   * @param registry the services in force
   */
  ServerConnections(
      ControlState state,
      PeerRelays relays,
      SocketConnector connector,
      Clocks clocks,
      Supplier<ServiceRegistry> registry) {
    this.state = state;
    this.relays = relays;
    this.connector = connector;
    this.clocks = clocks;
    this.registry = registry;
    paths.countServersWith(service -> usable(service).size());
    paths.addListener(this::pathChanged);
  }

  /** The paths to the servers of each service. */
  public ServicePaths paths() {
    return paths;
  }

  /** Returns the dialer of a server. */
  ServerDialer dialer(String service, BackendServer server) {
    return new PathDialer(this, relays, clocks, service, server);
  }

  /** Opens a direct connection on behalf of a peer, unless this instance has lost its own path. */
  @Override
  public Dialed dial(String serverId) {
    Optional<Service> service = serviceOf(serverId);
    if (service.isEmpty() || state.membership().leaving()) {
      return Dialed.failed(Status.UNAVAILABLE);
    }
    String name = service.get().name();
    Optional<BackendServer> server =
        usable(name).stream().filter(usable -> usable.id().equals(serverId)).findFirst();
    if (server.isEmpty() || paths.detour(name, serverId)) {
      return Dialed.failed(Status.UNAVAILABLE);
    }
    try {
      return Dialed.opened(connectDirectly(name, server.get(), DIAL_FOR_PEER_MILLIS));
    } catch (ConnectException e) {
      return Dialed.failed(Status.REFUSED);
    } catch (IOException e) {
      return Dialed.failed(Status.UNREACHABLE);
    }
  }

  /** Connects directly and records that this was possible. */
  Socket connectDirectly(String service, BackendServer server, int timeoutMillis)
      throws IOException {
    InetSocketAddress address = new InetSocketAddress(server.host(), server.port());
    Socket socket = connector.connect(address, timeoutMillis);
    paths.directOpened(service, server.id());
    return socket;
  }

  /** Tries to reach a server directly of each service whose path is lost, in whole or in part. */
  void tryLostPaths() {
    for (String service : paths.withDetours()) {
      List<BackendServer> servers = new ArrayList<>(usable(service));
      if (!paths.lost(service)) {
        forgetDeparted(service, servers);
        servers.removeIf(server -> !paths.detour(service, server.id()));
      }
      if (!servers.isEmpty()) {
        BackendServer server = servers.get(ThreadLocalRandom.current().nextInt(servers.size()));
        Thread.ofVirtual().name("path-trial").start(() -> tryDirectly(service, server));
      }
    }
  }

  private void forgetDeparted(String service, List<BackendServer> servers) {
    for (String id : paths.detours(service)) {
      if (servers.stream().noneMatch(server -> server.id().equals(id))) {
        paths.forget(service, id);
      }
    }
  }

  private void tryDirectly(String service, BackendServer server) {
    try {
      connectDirectly(service, server, TRIAL_MILLIS).close();
    } catch (IOException e) {
      // The path is still lost; the next trial follows.
      return;
    }
  }

  /** Returns the servers of a service that get new requests. */
  List<BackendServer> usable(String service) {
    Service declared = registry.get().state().snapshot().services().get(service);
    List<BackendServer> servers = declared == null ? List.of() : declared.servers();
    return servers.stream()
        .filter(server -> server.state() == ServerState.ACTIVE)
        .filter(server -> !state.leaving().leaving(server.id()))
        .toList();
  }

  private Optional<Service> serviceOf(String serverId) {
    return registry.get().state().snapshot().services().values().stream()
        .filter(s -> s.servers().stream().anyMatch(server -> server.id().equals(serverId)))
        .findFirst();
  }

  /**
   * Gives up the direct connections to a service when its path is lost: they hang or are about to
   * be reset.
   */
  private void pathChanged(String service, ServicePath.Change change) {
    switch (change) {
      case NONE, DETOUR_BEGUN -> {}
      case LOST -> {
        state.timeline().record(EventKind.PATH_LOST, "", service, "", "");
        ServiceState lost = registry.get().state().services().get(service);
        if (lost != null) {
          lost.servers().forEach(handle -> handle.pool().closeIdle());
        }
      }
      case RESTORED -> state.timeline().record(EventKind.PATH_RESTORED, "", service, "", "");
    }
  }
}
