package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.peer.ConfigurationUpdate;
import org.magnoliaswitch.front.peer.HeldConfiguration;
import org.magnoliaswitch.front.peer.PeerHub;
import org.magnoliaswitch.front.peer.PeerSubscription;
import org.magnoliaswitch.front.peer.PeerUpdate;
import org.magnoliaswitch.front.peer.ServerChanges;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.RouteUpdate;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Synchronizes configuration, discovery and crash reports with the platform and other instances.
 */
public final class StateSync {
  /**
   * Interval at which outdated crash reports are removed; the shortest retention time is a minute.
   */
  private static final long EXPIRY_MILLIS = 10_000;

  /**
   * Range of the random delay after which an instance forwards what it has read, so that instances
   * do so one after the other.
   */
  private static final long FORWARD_SPAN_MILLIS = 600;

  /**
   * Interval at which this instance checks which seed is to send it configuration updates
   * immediately.
   */
  private static final long ACKNOWLEDGE_MILLIS = 500;

  private final Environment environment;
  private final KnownState knownState;
  private final Loop loop;
  private final PeerHub hub;
  private final StatePoller poller;
  private final Map<InetSocketAddress, Integer> instancesByPeer = new HashMap<>();
  private final Map<InetSocketAddress, InstanceIndex> indexesBySeed = new HashMap<>();
  private final CrashArchive archive;
  private final TeamSync teams;
  private final Map<InetSocketAddress, PeerSubscription> subscriptions = new LinkedHashMap<>();
  private final CrashReportBatches crashReports;

  public StateSync(
      Environment environment,
      KnownState knownState,
      Loop control,
      StateSource source,
      TeamQuotas.QuotaLinks quotaLinks) {
    this.environment = environment;
    this.knownState = knownState;
    this.loop = control;
    this.crashReports = new CrashReportBatches(control, this::send);
    FrontSettings settings = environment.settings();
    PollingSchedule schedule =
        PollingSchedule.of(
            settings.peers(),
            settings.seeds(),
            settings.firstStart(),
            environment.random().nextInt(PollingSchedule.JITTER_SPAN_MILLIS));
    this.archive =
        new CrashArchive(source.crashStore(), environment, control, this::receivesFromPeers);
    this.poller =
        new StatePoller(
            source,
            knownState,
            schedule,
            control,
            environment,
            new PollerListener(),
            this::receivesFromPeers,
            archive);
    this.teams = new TeamSync(environment, control, quotaLinks, this::subscription, this::sendTo);
    this.hub =
        new PeerHub(
            control,
            environment.clocks(),
            () ->
                new PeerHub.Snapshot(
                    poller.ageMillis(),
                    poller.operatorStateAgeMillis(),
                    environment.routes().get(),
                    knownState.evacuations(),
                    poller.servers().published(),
                    environment.crashes().table()),
            reports -> environment.crashes().receive(reports, CrashWatch.Source.LISTENER),
            this::receivedFromListener,
            teams.listenerTeams());
  }

  /** Binds the address for peers, subscribes to the seeds and starts polling. */
  public void start() {
    FrontSettings settings = environment.settings();
    hub.bind(settings.peers());
    for (InetSocketAddress seed : settings.seeds()) {
      if (!seed.equals(settings.peers())) {
        PeerSubscription subscription =
            new PeerSubscription(
                loop,
                environment.clocks(),
                seed,
                new SeedListener(seed),
                () -> environment.crashes().table().reports(),
                () -> heldConfiguration(seed));
        subscriptions.put(seed, subscription);
        subscription.start();
      }
    }
    environment.crashes().addListener(update -> loop.execute(() -> handle(update)));
    environment.crashes().allowTrialsWhen(this::reachesOthers);
    loop.everyMillis(EXPIRY_MILLIS, environment.crashes()::removeExpired);
    loop.everyMillis(ACKNOWLEDGE_MILLIS, this::acknowledgeAndTick);
    poller.start();
    environment.metrics().gauge("configuration.version", knownState::routesVersion);
    environment.metrics().gauge("knowledge.age.milliseconds", poller::ageMillis);
    environment.metrics().gauge("configuration.age.milliseconds", poller::operatorStateAgeMillis);
    environment.metrics().gauge("servers.age.milliseconds", poller::serversAgeMillis);
    environment
        .metrics()
        .gauge(
            "configuration.confirmation.age.milliseconds",
            () -> TimeUnit.NANOSECONDS.toMillis(environment.confirmation().ageNanos()));
    environment.metrics().gauge("peer.bytes.told", hub::bytesSent);
    environment.metrics().gauge("peer.listeners.dropped", hub::listenersDropped);
    environment.metrics().gauge("peer.listeners.behind", hub::listenersBehind);
    environment.metrics().gauge("instances", () -> environment.instances().count());
    environment
        .metrics()
        .gauge("evacuated.data.centres", () -> knownState.evacuations().dataCentres().size());
    environment.metrics().gauge("servers.version", () -> knownState.servers().revision().version());
    environment.metrics().gauge("servers.epoch", () -> knownState.servers().revision().epoch());
    environment.metrics().gauge("servers.retained", poller.servers()::retained);
    environment.metrics().gauge("servers.uncertain", () -> poller.servers().uncertain() ? 1 : 0);
    environment.metrics().gauge("servers", () -> knownState.servers().servers().size());
  }

  /**
   * Handles new crash reports. An instance reports its own observations to its seeds, and they
   * publish them to all their listeners; so a report reaches each instance once from each seed, and
   * the listeners do not report it to the seeds again.
   */
  private void handle(CrashWatch.Update update) {
    if (update.source() == CrashWatch.Source.OWN) {
      archive.recordOwn(update.newReports());
    }
    crashReports.add(update);
  }

  private void send(List<CrashReport> own, List<CrashReport> all) {
    subscriptions.values().forEach(subscription -> subscription.report(own));
    hub.publish(all);
  }

  /** Whether crash reports of this instance reach other instances, or there are none. */
  private boolean reachesOthers() {
    return subscriptions.isEmpty() || receivesFromPeers() || hub.instances() > 1;
  }

  private boolean receivesFromPeers() {
    return subscriptions.values().stream().anyMatch(PeerSubscription::receiving);
  }

  private void received(InetSocketAddress seed, PeerUpdate update, ServerList servers) {
    instancesByPeer.put(seed, update.instances());
    update.instanceIndex().ifPresent(index -> indexesBySeed.put(seed, index));
    updateInstances();
    poller.received(update, servers);
    acknowledge();
    environment.crashes().receive(update.crashes(), CrashWatch.Source.PEER);
  }

  private Optional<PeerSubscription> subscription(int seed) {
    return Optional.ofNullable(subscriptions.get(environment.settings().seeds().get(seed)));
  }

  private void sendTo(Set<Long> listeners) {
    hub.publishTo(listeners);
  }

  /** Handles the messages of one seed. */
  private final class SeedListener implements PeerSubscription.Listener {
    private final InetSocketAddress seed;

    SeedListener(InetSocketAddress seed) {
      this.seed = seed;
    }

    @Override
    public void received(PeerUpdate update, ServerList servers) {
      StateSync.this.received(seed, update, servers);
      int position = environment.settings().seeds().indexOf(seed);
      long version =
          update.configuration().map(ConfigurationUpdate::version).orElse(Long.MAX_VALUE);
      boolean upToDate = version <= knownState.routesVersion();
      update.teams().ifPresent(news -> teams.received(position, news, upToDate));
    }

    @Override
    public void disconnected() {
      teams.disconnected(environment.settings().seeds().indexOf(seed));
    }
  }

  private void publish() {
    teams.tick();
    updateInstances();
    hub.publish();
    acknowledge();
  }

  /** Publishes what the poller has read. */
  private final class PollerListener implements StatePoller.Listener {
    @Override
    public void changed() {
      publish();
    }

    @Override
    public void allRead() {
      if (!isSeed() && subscriptions.values().stream().anyMatch(PeerSubscription::peerStale)) {
        long delay = environment.random().nextLong(FORWARD_SPAN_MILLIS);
        loop.afterMillis(delay, StateSync.this::forwardToSeeds);
      }
    }
  }

  /**
   * Forwards what this instance has read to seeds that cannot read the platform: other instances
   * that cannot read it either depend on the seeds alone. Another instance may have done so in the
   * meantime.
   */
  private void forwardToSeeds() {
    subscriptions.values().stream()
        .filter(PeerSubscription::peerStale)
        .forEach(seed -> seed.forward(this::fullState));
  }

  /**
   * Returns the whole state of this instance except for crash reports.
   *
   * @param version configuration version that the receiver has
   */
  private PeerUpdate fullState(long version) {
    RouteTable routes = knownState.routes();
    Optional<RouteUpdate> update =
        version < routes.version() ? Optional.of(new RouteUpdate.Full(routes)) : Optional.empty();
    return new PeerUpdate(
        poller.ageMillis(),
        environment.instances().count(),
        Optional.empty(),
        ServerChanges.between(ServerList.EMPTY, poller.servers().published()),
        knownState.evacuations(),
        List.of(),
        Optional.of(hub.ownIndex()),
        Optional.of(
            new ConfigurationUpdate(routes.version(), poller.operatorStateAgeMillis(), update)));
  }

  /**
   * Applies what a listener has read itself and publishes it at once, so that no other instance
   * reads too.
   */
  private void receivedFromListener(PeerUpdate update) {
    if (update.ageMillis() < poller.ageMillis()) {
      poller.received(update, update.servers().applyTo(ServerList.EMPTY));
      publish();
    }
  }

  private boolean isSeed() {
    FrontSettings settings = environment.settings();
    return settings.seeds().contains(settings.peers());
  }

  private void acknowledgeAndTick() {
    teams.tick();
    acknowledge();
  }

  private void acknowledge() {
    subscriptions.values().forEach(PeerSubscription::acknowledge);
  }

  private HeldConfiguration heldConfiguration(InetSocketAddress seed) {
    return new HeldConfiguration(knownState.routesVersion(), 0, delivery(seed));
  }

  /**
   * Returns when a seed is to send configuration updates to this instance. Seeds share the work: a
   * large configuration sent by each of them to each instance would saturate narrow links for
   * seconds. A seed accepts it from whichever peer has it first.
   */
  private HeldConfiguration.Delivery delivery(InetSocketAddress seed) {
    if (isSeed()) {
      return HeldConfiguration.Delivery.FIRST;
    }
    return seed.equals(preferredSeed())
        ? HeldConfiguration.Delivery.IMMEDIATE
        : HeldConfiguration.Delivery.DEFERRED;
  }

  /**
   * Returns the first seed that this instance receives messages from, in an order that differs
   * between instances.
   */
  private InetSocketAddress preferredSeed() {
    List<InetSocketAddress> seeds = environment.settings().seeds();
    int start = Math.floorMod(environment.settings().instance().hashCode(), seeds.size());
    for (int i = 0; i < seeds.size(); i++) {
      InetSocketAddress seed = seeds.get((start + i) % seeds.size());
      PeerSubscription subscription = subscriptions.get(seed);
      if (subscription != null && subscription.receiving()) {
        return seed;
      }
    }
    return seeds.get(start);
  }

  private void updateIndex(InstanceIndex next) {
    Optional<Integer> before = environment.instances().index().map(InstanceIndex::index);
    environment.instances().updateIndex(next);
    if (!before.equals(Optional.of(next.index()))) {
      environment
          .log()
          .stateChange("placed")
          .add("index", next.index())
          .add("places", next.count())
          .write();
    }
  }

  /**
   * Returns the index assigned by the first seed that this instance receives messages from, so that
   * all instances have theirs from the same seed. A seed has an index among its own listeners.
   */
  private Optional<InstanceIndex> assignedIndex() {
    for (InetSocketAddress seed : environment.settings().seeds()) {
      if (seed.equals(environment.settings().peers())) {
        return Optional.of(hub.ownIndex());
      }
      PeerSubscription subscription = subscriptions.get(seed);
      if (subscription != null && subscription.receiving() && indexesBySeed.containsKey(seed)) {
        return Optional.of(indexesBySeed.get(seed));
      }
    }
    return Optional.empty();
  }

  /**
   * Updates the number of instances with the largest count received: each seed counts its
   * listeners, and a seed that has just started has few.
   */
  private void updateInstances() {
    int largest = hub.instances();
    for (int count : instancesByPeer.values()) {
      largest = Math.max(largest, count);
    }
    if (largest > 1) {
      environment.instances().update(largest);
    }
    assignedIndex().ifPresent(this::updateIndex);
  }
}
