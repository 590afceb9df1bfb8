package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

/** Everything by which this instance learns and passes on configuration and discovery. */
public final class StateSync {
  /** Time between two looks for what may be forgotten; the shortest memory is a minute. */
  private static final long FORGET_MILLIS = 10_000;

  /**
   * Reports of so long go out together. When a data centre is lost, the requests under way there
   * make hundreds of them within a moment, and each alone would be a message from each seed to each
   * instance.
   */
  private static final long GATHER_MILLIS = 5;

  /** Instances that have read pass on what they read within so long, one after the other. */
  private static final long PASS_ON_SPAN_MILLIS = 600;

  /** Time between two looks at which seed is to send updates of the configuration at once. */
  private static final long CONFIRM_MILLIS = 500;

  private final Environment environment;
  private final KnownState knownState;
  private final Loop loop;
  private final PeerHub hub;
  private final StatePoller reader;
  private final Map<InetSocketAddress, Integer> instancesByPeer = new HashMap<>();
  private final Map<InetSocketAddress, InstanceIndex> placesBySeed = new HashMap<>();
  private final CrashArchive archive;
  private final Map<InetSocketAddress, PeerSubscription> subscriptions = new LinkedHashMap<>();
  private final List<CrashReport> toReport = new ArrayList<>();
  private final List<CrashReport> toTell = new ArrayList<>();

  public StateSync(
      Environment environment, KnownState knownState, Loop control, StateSource source) {
    this.environment = environment;
    this.knownState = knownState;
    this.loop = control;
    FrontSettings settings = environment.settings();
    PollingSchedule plan =
        PollingSchedule.of(
            settings.peers(),
            settings.seeds(),
            settings.firstStart(),
            environment.random().nextInt(PollingSchedule.JITTER_SPAN_MILLIS));
    this.archive = new CrashArchive(source.crashStore(), environment, control, this::hearsPeers);
    this.reader =
        new StatePoller(
            source,
            knownState,
            plan,
            control,
            environment,
            new Learnt(),
            this::hearsPeers,
            archive);
    this.hub =
        new PeerHub(
            control,
            environment.clocks(),
            () ->
                new PeerHub.Snapshot(
                    reader.ageMillis(),
                    reader.operatorStateAgeMillis(),
                    environment.routes().get(),
                    knownState.evacuations(),
                    knownState.servers(),
                    environment.crashes().table()),
            reports -> environment.crashes().heard(reports, CrashWatch.Source.LISTENER),
            this::heardOfListener);
  }

  /** Binds the peers' address, listens to the seeds and begins to read. */
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
                (news, servers) -> heard(seed, news, servers),
                () -> environment.crashes().table().reports(),
                () -> held(seed));
        subscriptions.put(seed, subscription);
        subscription.start();
      }
    }
    environment.crashes().listen(lesson -> loop.execute(() -> share(lesson)));
    environment.crashes().coordinateTrials(this::heardByOthers);
    loop.everyMillis(FORGET_MILLIS, environment.crashes()::forgetOutdated);
    loop.everyMillis(CONFIRM_MILLIS, this::confirm);
    reader.start();
    environment.metrics().gauge("configuration.version", knownState::routesVersion);
    environment.metrics().gauge("knowledge.age.milliseconds", reader::ageMillis);
    environment.metrics().gauge("configuration.age.milliseconds", reader::operatorStateAgeMillis);
    environment.metrics().gauge("servers.age.milliseconds", reader::serversAgeMillis);
    environment.metrics().gauge("peer.bytes.told", hub::bytesSent);
    environment.metrics().gauge("peer.listeners.dropped", hub::listenersDropped);
    environment.metrics().gauge("peer.listeners.behind", hub::listenersBehind);
    environment.metrics().gauge("instances", () -> environment.instances().count());
    environment
        .metrics()
        .gauge("evacuated.data.centres", () -> knownState.evacuations().dataCentres().size());
    environment.metrics().gauge("servers", () -> knownState.servers().servers().size());
  }

  /**
   * Passes on what is new about requests under which servers end. What an instance sees it reports
   * to its seeds, and they tell all that listen to them; so it reaches each once from each seed,
   * and none passes it back.
   */
  private void share(CrashWatch.Lesson lesson) {
    if (lesson.source() == CrashWatch.Source.OWN) {
      archive.recordOwn(lesson.news());
      toReport.addAll(lesson.news());
    }
    if (toTell.isEmpty()) {
      loop.afterMillis(GATHER_MILLIS, this::shareGathered);
    }
    toTell.addAll(lesson.news());
  }

  private void shareGathered() {
    List<CrashReport> reports = List.copyOf(toReport);
    List<CrashReport> news = List.copyOf(toTell);
    toReport.clear();
    toTell.clear();
    subscriptions.values().forEach(subscription -> subscription.report(reports));
    hub.publish(news);
  }

  /** Whether others hear of what happens here, or there are none. */
  private boolean heardByOthers() {
    return subscriptions.isEmpty() || hearsPeers() || hub.instances() > 1;
  }

  private boolean hearsPeers() {
    return subscriptions.values().stream().anyMatch(PeerSubscription::receiving);
  }

  private void heard(InetSocketAddress seed, PeerUpdate news, ServerList servers) {
    instancesByPeer.put(seed, news.instances());
    news.instanceIndex().ifPresent(place -> placesBySeed.put(seed, place));
    learnInstances();
    reader.heard(news, servers);
    confirm();
    environment.crashes().heard(news.crashes(), CrashWatch.Source.PEER);
  }

  private void tell() {
    learnInstances();
    hub.publish();
    confirm();
  }

  /** Tells others of what was learnt. */
  private final class Learnt implements StatePoller.Listener {
    @Override
    public void changed() {
      tell();
    }

    @Override
    public void readItself() {
      if (!seed() && subscriptions.values().stream().anyMatch(PeerSubscription::peerStale)) {
        long wait = environment.random().nextLong(PASS_ON_SPAN_MILLIS);
        loop.afterMillis(wait, StateSync.this::passOn);
      }
    }
  }

  /**
   * Tells seeds that cannot read what this instance has read: others that cannot read either learn
   * from the seeds alone. By now another instance may have done so.
   */
  private void passOn() {
    subscriptions.values().stream()
        .filter(PeerSubscription::peerStale)
        .forEach(seed -> seed.forward(this::known));
  }

  /**
   * All that this instance knows, but for requests under which servers end.
   *
   * @param version configuration that the receiver has
   */
  private PeerUpdate known(long version) {
    RouteTable routes = knownState.routes();
    Optional<RouteUpdate> update =
        version < routes.version() ? Optional.of(new RouteUpdate.Full(routes)) : Optional.empty();
    return new PeerUpdate(
        reader.ageMillis(),
        environment.instances().count(),
        Optional.empty(),
        ServerChanges.between(ServerList.EMPTY, knownState.servers()),
        knownState.evacuations(),
        List.of(),
        Optional.of(hub.ownIndex()),
        Optional.of(
            new ConfigurationUpdate(routes.version(), reader.operatorStateAgeMillis(), update)));
  }

  /** What a listener has read itself; told to all at once, so that none of them reads too. */
  private void heardOfListener(PeerUpdate news) {
    if (news.ageMillis() < reader.ageMillis()) {
      reader.heard(news, news.servers().applyTo(ServerList.EMPTY));
      tell();
    }
  }

  private boolean seed() {
    FrontSettings settings = environment.settings();
    return settings.seeds().contains(settings.peers());
  }

  private void confirm() {
    subscriptions.values().forEach(PeerSubscription::acknowledge);
  }

  private HeldConfiguration held(InetSocketAddress seed) {
    return new HeldConfiguration(knownState.routesVersion(), 0, supply(seed));
  }

  /**
   * Seeds share the work: a large configuration from each of them to each instance would keep
   * narrow links busy for seconds. Seeds themselves take it from whoever has it first.
   */
  private HeldConfiguration.Delivery supply(InetSocketAddress seed) {
    if (seed()) {
      return HeldConfiguration.Delivery.FIRST;
    }
    return seed.equals(supplier())
        ? HeldConfiguration.Delivery.IMMEDIATE
        : HeldConfiguration.Delivery.DEFERRED;
  }

  /** The first seed that is heard, in an order that differs between instances. */
  private InetSocketAddress supplier() {
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

  private void placed(InstanceIndex place) {
    Optional<Integer> before = environment.instances().place().map(InstanceIndex::index);
    environment.instances().placed(place);
    if (!before.equals(Optional.of(place.index()))) {
      environment
          .log()
          .stateChange("placed")
          .add("index", place.index())
          .add("places", place.count())
          .write();
    }
  }

  /**
   * The place that the first seed gives which is heard, so that all instances have theirs from the
   * same one. A seed has its own among its listeners.
   */
  private Optional<InstanceIndex> firstPlace() {
    for (InetSocketAddress seed : environment.settings().seeds()) {
      if (seed.equals(environment.settings().peers())) {
        return Optional.of(hub.ownIndex());
      }
      PeerSubscription subscription = subscriptions.get(seed);
      if (subscription != null && subscription.receiving() && placesBySeed.containsKey(seed)) {
        return Optional.of(placesBySeed.get(seed));
      }
    }
    return Optional.empty();
  }

  /** The largest count heard: each seed counts those that listen to it, and a new one few. */
  private void learnInstances() {
    int most = hub.instances();
    for (int count : instancesByPeer.values()) {
      most = Math.max(most, count);
    }
    if (most > 1) {
      environment.instances().update(most);
    }
    firstPlace().ifPresent(this::placed);
  }
}
