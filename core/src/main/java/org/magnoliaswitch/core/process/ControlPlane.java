package org.magnoliaswitch.core.process;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.clock.HybridClock;
import org.magnoliaswitch.core.connection.SocketConnector;
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.peer.LeavingNotice;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.PeerClient;
import org.magnoliaswitch.core.peer.PeerMessage;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.peer.PeerServer;
import org.magnoliaswitch.core.peer.PeerTraffic;
import org.magnoliaswitch.core.platform.InstanceList;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.version.ServerState;

/**
 * The control plane of one instance: membership, configuration and key claims, with their timers
 * and the peer listener.
 */
public final class ControlPlane implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TIMELINE_CAPACITY = 20_000;
  private static final int INITIAL_EXCHANGES = 8;
  private static final long MAINTENANCE_MILLIS = 1_000;
  private static final long OUTCOME_FLUSH_MILLIS = 2_000;
  private static final int LEAVE_EXCHANGES = 6;
  private static final long PROBE_TICK_MILLIS = 100;
  private static final long PATH_TRIAL_MILLIS = 250;

  /**
   * Parameters of the control plane.
   *
   * @param identity name and addresses of the instance
   * @param seeds peers to contact first
   * @param gossip rates of the gossip
   * @param secret secret shared by all instances
   */
  public record Setup(
      InstanceIdentity identity, List<Address> seeds, GossipSettings gossip, PeerSecret secret) {}

  private final Clocks clocks;
  private final ControlState state;
  private final Platform platform;
  private final ContentCache cache;
  private final ConfigurationStore store;
  private final ConfigurationFollower follower;
  private final Gossip gossip;
  private final CrashGossip crashGossip;
  private final ServiceRegistry registry;
  private final Prober prober;
  private final ServerConnections connections;
  private final PeerTraffic traffic = new PeerTraffic();
  private final PeerClient client;
  private final PeerServer server;
  private final KeyIssuer issuer;
  private final OutcomeLedger ledger;
  private final OutcomeRecords records;
  private final ClaimBatcher batcher;
  private final ClaimService claims;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("control-timer").daemon().factory());
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private volatile int lastInstanceCount = 1;
  private volatile boolean caughtUp;

  /** Creates a control plane whose connections to servers go over the network of this machine. */
  public ControlPlane(Setup setup, Platform platform, Clocks clocks, RandomGenerator random)
      throws IOException {
    this(setup, platform, clocks, random, SocketConnector.NETWORK);
  }

  /**
   * Creates a control plane.
   *
   * @param connector opens the connections to backend servers
   */
  public ControlPlane(
      Setup setup,
      Platform platform,
      Clocks clocks,
      RandomGenerator random,
      SocketConnector connector)
      throws IOException {
    this.clocks = clocks;
    this.platform = platform;
    Member self = setup.identity().newIncarnation();
    HybridClock hybrid = new HybridClock(clocks.wall());
    Timeline timeline = new Timeline(setup.identity().instance(), hybrid, TIMELINE_CAPACITY);
    this.cache = new ContentCache();
    CurrentVersion version = new CurrentVersion(cache, timeline);
    Membership membership = new Membership(self, clocks);
    CrashWatch crashes = new CrashWatch(clocks);
    this.state =
        new ControlState(
            membership,
            new LeavingServers(clocks),
            version,
            timeline,
            new RefusedResponses(timeline),
            crashes,
            new LastContact(clocks));
    this.store = new ConfigurationStore(platform.table(), platform.objects());
    this.client = new PeerClient(setup.secret(), traffic);
    this.follower = new ConfigurationFollower(version, cache, store, client);
    this.gossip =
        new Gossip(setup.gossip(), setup.seeds(), state, follower, client, random, executor);
    this.crashGossip = new CrashGossip(crashes, gossip, client, timeline, executor);
    PeerRelays relays = new PeerRelays(membership, client, clocks);
    this.connections = new ServerConnections(state, relays, connector, clocks, this::registry);
    this.registry = new ServiceRegistry(membership, clocks, connections::dialer);
    version.addListener(registry::apply);
    this.prober = new Prober(registry, state, clocks, gossip::pushUpdate);
    this.issuer = new KeyIssuer(self.incarnation(), setup.secret(), clocks);
    this.ledger = new OutcomeLedger(clocks);
    this.records = new OutcomeRecords(platform.objects(), self.incarnation(), clocks);
    this.batcher = new ClaimBatcher(platform.table(), clocks);
    this.claims = new ClaimService(batcher, membership, client, timer, clocks);
    this.server =
        new PeerServer(
            new Address(setup.identity().host(), setup.identity().peerPort()),
            setup.secret(),
            this::answer,
            connections,
            traffic);
    timeline.record(EventKind.STARTED, "incarnation=" + self.incarnation());
  }

  /** Starts the exchanges with peers and the polling of the configuration. */
  public void start() {
    executor.execute(this::catchUp);
    scheduleRepeatedly(gossip::exchangeWithRandomPeer, gossip::nextExchangeMillis);
    scheduleRepeatedly(crashGossip::repair, gossip::nextExchangeMillis);
    scheduleRepeatedly(this::pollStore, gossip::nextStorePollMillis);
    scheduleRepeatedly(this::maintain, () -> MAINTENANCE_MILLIS);
    scheduleRepeatedly(batcher::repeatClaims, () -> MAINTENANCE_MILLIS);
    scheduleRepeatedly(this::record, () -> OUTCOME_FLUSH_MILLIS);
    scheduleRepeatedly(prober::probeDueServers, () -> PROBE_TICK_MILLIS);
    scheduleRepeatedly(connections::tryLostPaths, () -> PATH_TRIAL_MILLIS);
  }

  /**
   * Brings this instance up to date with the store and its peers.
   *
   * <p>Several peers are asked before the instance counts as ready, so that a new instance does not
   * start with a version that most others have already replaced.
   */
  public void catchUp() {
    int answered = gossip.exchangeWithPeers(INITIAL_EXCHANGES);
    pollStore();
    caughtUp = true;
    logger.atInfo().log(
        "event=caught_up peers=%d version=%d", answered, state.version().get().version());
  }

  /**
   * Returns whether peers and store were asked, a version is in force, and the instance is not
   * leaving.
   */
  public boolean ready() {
    return caughtUp && state.version().get().version() > 0 && !state.membership().leaving();
  }

  /** Announces to peers that this instance is leaving. */
  public void leave() {
    state.timeline().record(EventKind.STOPPING, "");
    state.membership().leave();
    gossip.exchangeWithPeers(LEAVE_EXCHANGES);
  }

  /**
   * Writes the final segment of the outcome records; must be called after the last request has
   * finished.
   */
  public void writeFinalRecord() {
    try {
      records.close(ledger);
    } catch (PlatformException e) {
      logger.atWarning().log("event=last_record_not_written cause=%s", e);
    }
    state.timeline().record(EventKind.STOPPED, "");
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
    client.close();
    executor.shutdownNow();
  }

  private PeerMessage answer(PeerMessage request) {
    return switch (request) {
      case PeerMessage.Gossip message -> new PeerMessage.Gossip(gossip.answer(message.digest()));
      case PeerMessage.Crashes crashes -> crashGossip.answer(crashes);
      case PeerMessage.FetchContent fetch -> new PeerMessage.Content(cache.select(fetch.digests()));
      case PeerMessage.ClaimKeys keys ->
          new PeerMessage.ClaimResults(
              claims.claimForPeer(keys.claims(), keys.windowMillis(), keys.waitMillis()));
      case PeerMessage.OpenServer open -> new PeerMessage.Unsupported("handled by the listener");
      case PeerMessage.ServerOpened opened -> new PeerMessage.Unsupported("a reply is no request");
      case PeerMessage.Content content -> new PeerMessage.Unsupported("a reply is no request");
      case PeerMessage.ClaimResults results -> new PeerMessage.Unsupported("a reply is no request");
      case PeerMessage.Unsupported unsupported ->
          new PeerMessage.Unsupported("a reply is no request");
    };
  }

  private void pollStore() {
    try {
      boolean changed = follower.followStore();
      state.contact().recordContact();
      if (changed) {
        gossip.pushUpdate();
      }
      mergeInstanceList(platform.instances().list());
    } catch (PlatformException e) {
      state.timeline().record(EventKind.PLATFORM_UNAVAILABLE, "");
    }
  }

  private void mergeInstanceList(List<InstanceList.ListedInstance> listed) {
    LeavingServers leaving = state.leaving();
    Set<String> leavingNow =
        listed.stream()
            .filter(InstanceList.ListedInstance::leaving)
            .map(InstanceList.ListedInstance::id)
            .collect(Collectors.toSet());
    boolean changed = false;
    for (String id : leavingNow) {
      changed |= recordLeaving(id, true, leaving.markLeaving(id, LeavingNotice.Source.LIST));
    }
    for (String id : leaving.leavingBy(LeavingNotice.Source.LIST)) {
      if (!leavingNow.contains(id)) {
        changed |= recordLeaving(id, false, leaving.markReturned(id, LeavingNotice.Source.LIST));
      }
    }
    if (changed) {
      gossip.pushUpdate();
    }
  }

  private boolean recordLeaving(String server, boolean leaving, boolean changed) {
    if (changed) {
      state
          .timeline()
          .record(EventKind.SERVER_LEAVING, "", "", server, "sign=list leaving=" + leaving);
    }
    return changed;
  }

  private void maintain() {
    state.membership().expire();
    state.crashes().removeExpired();
    ledger.expire();
    int instances = state.membership().size();
    if (instances != lastInstanceCount) {
      lastInstanceCount = instances;
      registry.redistribute();
    }
    registry.state().handles().forEach(this::closeUnusedConnections);
  }

  /**
   * Closes connections that are no longer needed. A leaving server closes its side: connections
   * that were still idle when the server was replaced a few seconds later broke 34 reads during a
   * rolling replacement.
   */
  private void closeUnusedConnections(ServerHandle handle) {
    boolean leaving =
        handle.server().state() == ServerState.DRAINING || state.leaving().leaving(handle.id());
    if (leaving) {
      handle.pool().closeIdle();
    } else {
      handle.pool().evictUnusable();
    }
  }

  private void record() {
    try {
      records.flush(ledger);
    } catch (PlatformException e) {
      state.timeline().record(EventKind.PLATFORM_UNAVAILABLE, "outcomes=unrecorded");
    }
  }

  private void scheduleRepeatedly(Runnable task, LongSupplier delayMillis) {
    Runnable once =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=control_task_failed");
          } finally {
            scheduleRepeatedly(task, delayMillis);
          }
        };
    try {
      var unused =
          timer.schedule(
              () -> executor.execute(once), delayMillis.getAsLong(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("event=control_timer_stopped");
    }
  }

  /**
   * Returns the in-memory state: membership, leaving servers, version, timeline, crash reports and
   * contact.
   */
  public ControlState state() {
    return state;
  }

  /** Returns the store of accepted versions. */
  public ConfigurationStore store() {
    return store;
  }

  /** Returns the contents that peers may request. */
  public ContentCache cache() {
    return cache;
  }

  /** Returns the gossip with peers. */
  public Gossip gossip() {
    return gossip;
  }

  /** Returns the services in force. */
  public ServiceRegistry registry() {
    return registry;
  }

  /** Returns the connections to backend servers. */
  public ServerConnections connections() {
    return connections;
  }

  /** Returns the listener for peers. */
  public PeerServer peerServer() {
    return server;
  }

  /** Returns the prober of servers without recent contact. */
  public Prober prober() {
    return prober;
  }

  /** Returns the traffic counters of the peer protocol. */
  public PeerTraffic traffic() {
    return traffic;
  }

  /** Returns the issuer of keys. */
  public KeyIssuer issuer() {
    return issuer;
  }

  /** Returns the keys of this incarnation. */
  public OutcomeLedger ledger() {
    return ledger;
  }

  /** Returns the outcome records. */
  public OutcomeRecords records() {
    return records;
  }

  /** Returns the service that claims callers' own keys. */
  public ClaimService claims() {
    return claims;
  }

  /** Returns the batcher of claim transactions. */
  public ClaimBatcher batcher() {
    return batcher;
  }

  /** Returns the clocks of the process. */
  public Clocks clocks() {
    return clocks;
  }
}
