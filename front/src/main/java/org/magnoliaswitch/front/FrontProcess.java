package org.magnoliaswitch.front;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.core.process.ServicePath;
import org.magnoliaswitch.core.process.ServicePaths;
import org.magnoliaswitch.front.connection.ServerConnector;
import org.magnoliaswitch.front.load.RelaySelection;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.process.ColdServerQuotas;
import org.magnoliaswitch.front.process.ConfigurationConfirmation;
import org.magnoliaswitch.front.process.CrashLog;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.process.EventLog;
import org.magnoliaswitch.front.process.Freshness;
import org.magnoliaswitch.front.process.Front;
import org.magnoliaswitch.front.process.FrontMetrics;
import org.magnoliaswitch.front.process.FrontSettings;
import org.magnoliaswitch.front.process.InstanceCount;
import org.magnoliaswitch.front.process.KnownState;
import org.magnoliaswitch.front.process.PathRecovery;
import org.magnoliaswitch.front.process.RouteState;
import org.magnoliaswitch.front.process.ServerDirectory;
import org.magnoliaswitch.front.process.ServerNotices;
import org.magnoliaswitch.front.process.ServerQuotas;
import org.magnoliaswitch.front.process.StateSource;
import org.magnoliaswitch.front.process.StateSync;
import org.magnoliaswitch.front.process.TeamQuotas;
import org.magnoliaswitch.front.process.UnmatchedBytesLog;
import org.magnoliaswitch.front.relay.RelayConnector;
import org.magnoliaswitch.front.relay.RelayDiscovery;
import org.magnoliaswitch.front.relay.RelayListener;
import org.magnoliaswitch.front.request.FrontDispatcher;
import org.magnoliaswitch.front.version.HeaderNames;
import org.magnoliaswitch.front.version.RouteTable;

/**
 * Assembles an instance that serves callers, with one event loop for all requests and one for the
 * synchronization of state.
 *
 * <p>It is wired by hand, because a dependency injection framework costs a tenth of a second of
 * processor time at each restart, and callers wait for the restart.
 */
public final class FrontProcess {
  /** Number of instances assumed until peers report the actual number. */
  private static final int ASSUMED_INSTANCES = 20;

  private FrontProcess() {}

  /**
   * Starts an instance.
   *
   * @param source factory of the source of configuration and discovery
   */
  public static Front start(FrontSettings settings, HeaderNames names, StateSource.Factory source) {
    Clocks clocks = Clocks.system();
    EventLog log = new EventLog(clocks);
    FrontMetrics metrics = new FrontMetrics();
    RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    Loop requests = Loop.start();
    Loop control = Loop.start();
    RelaySelection<InetSocketAddress> knownRelays = new RelaySelection<>(random);
    Optional<RelayDiscovery> discovery =
        settings
            .relays()
            .map(
                relays ->
                    new RelayDiscovery(
                        requests, clocks, relays.own(), relays.seeds(), knownRelays::add));
    Optional<RelayConnector> relayConnector =
        discovery.map(
            known -> new RelayConnector(requests, clocks, knownRelays, known::askForOthers));
    ServerConnector connector =
        new ServerConnector(
            requests, clocks, names, relayConnector, new UnmatchedBytesLog(log, metrics));
    ServicePaths paths = connector.paths();
    AtomicReference<RouteTable> routes = new AtomicReference<>(RouteTable.EMPTY);
    InstanceCount instances = new InstanceCount(ASSUMED_INSTANCES, clocks);
    ColdServerQuotas coldServers = new ColdServerQuotas(settings, clocks, routes, instances);
    ServerDirectory servers =
        new ServerDirectory(connector, clocks, log, settings, instances, coldServers);
    CrashWatch crashes = new CrashWatch(clocks);
    new CrashLog(crashes, log, metrics);
    TeamQuotas.QuotaLinks quotaLinks = TeamQuotas.QuotaLinks.of(settings);
    Environment environment =
        new Environment(
            settings,
            names,
            clocks,
            requests,
            random,
            routes,
            new Freshness(),
            servers,
            new RouteState(random, settings.retryBudget()),
            instances,
            new ServerQuotas(settings, clocks, instances, coldServers, servers::subsetShare),
            new ServerNotices(servers, clocks, log, metrics),
            log,
            metrics,
            crashes,
            new ConfigurationConfirmation(clocks),
            new TeamQuotas(quotaLinks, clocks, random, instances, settings.teams()));
    KnownState knownState = new KnownState(routes, servers, requests, log);
    StateSync stateSync =
        new StateSync(
            environment, knownState, control, source.create(control, log, metrics), quotaLinks);
    stateSync.start();
    RelayListener relayListener =
        new RelayListener(
            requests, clocks, servers, random, relay -> knownRelays.add(List.of(relay)));
    new PathRecovery(environment, paths).start();
    paths.addListener(
        (service, change) -> {
          if (change == ServicePath.Change.LOST) {
            relayListener.retire(service);
          }
        });
    settings.relays().ifPresent(relays -> relayListener.bind(relays.own()));
    discovery.ifPresent(RelayDiscovery::start);
    metrics.gauge("relayed.connections", relayListener::size);
    metrics.gauge("relayed.connections.opened", relayListener::opened);
    Front front = new Front(environment, knownState, FrontDispatcher::new, relayListener);
    front.start();
    return front;
  }
}
