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
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.peer.LeavingMark;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.PeerClient;
import org.magnoliaswitch.core.peer.PeerMessage;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.peer.PeerServer;
import org.magnoliaswitch.core.peer.PeerTraffic;
import org.magnoliaswitch.core.platform.InstanceList;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.version.ServerState;

/** Membership, configuration and claims of one instance, with their timers and peer listener. */
public final class ControlPlane implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TIMELINE_EVENTS = 20_000;
  private static final int FIRST_MEETINGS = 8;
  private static final long MAINTENANCE_MILLIS = 1_000;
  private static final long RECORD_MILLIS = 2_000;
  private static final int LEAVE_MEETINGS = 6;
  private static final long PROBE_TICK_MILLIS = 100;

  /**
   * What an instance is given to run its control.
   *
   * @param identity who it is
   * @param seeds peers to meet first
   * @param gossip rates
   * @param secret shared by all instances
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
  private volatile int sharedAmong = 1;
  private volatile boolean caughtUp;

  public ControlPlane(Setup setup, Platform platform, Clocks clocks, RandomGenerator random)
      throws IOException {
    this.clocks = clocks;
    this.platform = platform;
    Member self = setup.identity().newIncarnation();
    HybridClock hybrid = new HybridClock(clocks.wall());
    Timeline timeline = new Timeline(setup.identity().instance(), hybrid, TIMELINE_EVENTS);
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
            crashes,
            new LastContact(clocks));
    this.store = new ConfigurationStore(platform.table(), platform.objects());
    this.client = new PeerClient(setup.secret(), traffic);
    this.follower = new ConfigurationFollower(version, cache, store, client);
    this.gossip =
        new Gossip(setup.gossip(), setup.seeds(), state, follower, client, random, executor);
    this.crashGossip = new CrashGossip(crashes, gossip, client, timeline, executor);
    this.registry = new ServiceRegistry(membership, clocks);
    version.listen(registry::apply);
    this.prober = new Prober(registry, state, clocks, gossip::pushNews);
    this.issuer = new KeyIssuer(self.incarnation(), setup.secret(), clocks);
    this.ledger = new OutcomeLedger(clocks);
    this.records = new OutcomeRecords(platform.objects(), self.incarnation(), clocks);
    this.batcher = new ClaimBatcher(platform.table());
    this.claims = new ClaimService(batcher, membership, client, timer);
    this.server =
        new PeerServer(
            new Address(setup.identity().host(), setup.identity().peerPort()),
            setup.secret(),
            this::answer,
            traffic);
    timeline.record(EventKind.STARTED, "incarnation=" + self.incarnation());
  }

  /** Begins to meet peers and to follow the configuration. */
  public void start() {
    executor.execute(this::catchUp);
    repeat(gossip::meetOne, gossip::nextMeetingMillis);
    repeat(crashGossip::repair, gossip::nextMeetingMillis);
    repeat(this::pollStore, gossip::nextStorePollMillis);
    repeat(this::maintain, () -> MAINTENANCE_MILLIS);
    repeat(this::record, () -> RECORD_MILLIS);
    repeat(prober::probeDue, () -> PROBE_TICK_MILLIS);
  }

  /**
   * Brings this instance up to date with store and peers.
   *
   * <p>It asks several peers before it counts as ready, so that a fresh instance does not start
   * with a version that most others have left behind.
   */
  public void catchUp() {
    int answered = gossip.meetMany(FIRST_MEETINGS);
    pollStore();
    caughtUp = true;
    logger.atInfo().log(
        "event=caught_up peers=%d version=%d", answered, state.version().get().version());
  }

  /** Whether peers and store were asked, a version is in force, and the instance does not leave. */
  public boolean ready() {
    return caughtUp && state.version().get().version() > 0 && !state.membership().leaving();
  }

  /** Tells peers that this instance leaves and records all outcomes. */
  public void leave() {
    state.timeline().record(EventKind.STOPPING, "");
    state.membership().leave();
    gossip.meetMany(LEAVE_MEETINGS);
  }

  /** Writes the last outcome record; call it when no request is at work any more. */
  public void recordLast() {
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
      case PeerMessage.Content content -> new PeerMessage.Unsupported("a reply is no request");
      case PeerMessage.ClaimResults results -> new PeerMessage.Unsupported("a reply is no request");
      case PeerMessage.Unsupported unsupported ->
          new PeerMessage.Unsupported("a reply is no request");
    };
  }

  private void pollStore() {
    try {
      boolean news = follower.followStore();
      state.contact().made();
      if (news) {
        gossip.pushNews();
      }
      takeList(platform.instances().list());
    } catch (PlatformException e) {
      state.timeline().record(EventKind.PLATFORM_UNAVAILABLE, "");
    }
  }

  private void takeList(List<InstanceList.ListedMachine> listed) {
    LeavingServers leaving = state.leaving();
    Set<String> leavingNow =
        listed.stream()
            .filter(InstanceList.ListedMachine::leaving)
            .map(InstanceList.ListedMachine::id)
            .collect(Collectors.toSet());
    boolean news = false;
    for (String id : leavingNow) {
      news |= tell(id, true, leaving.noticed(id, LeavingMark.Sign.LIST));
    }
    for (String id : leaving.leavingBy(LeavingMark.Sign.LIST)) {
      if (!leavingNow.contains(id)) {
        news |= tell(id, false, leaving.returned(id, LeavingMark.Sign.LIST));
      }
    }
    if (news) {
      gossip.pushNews();
    }
  }

  private boolean tell(String server, boolean leaves, boolean news) {
    if (news) {
      state
          .timeline()
          .record(EventKind.SERVER_LEAVING, "", "", server, "sign=list leaving=" + leaves);
    }
    return news;
  }

  private void maintain() {
    state.membership().expire();
    state.crashes().forgetOutdated();
    ledger.expire();
    int instances = state.membership().size();
    if (instances != sharedAmong) {
      sharedAmong = instances;
      registry.shareAnew();
    }
    registry.state().handles().forEach(this::tidy);
  }

  /**
   * Closes connections that are of no more use. A server that leaves will close its side: found
   * idle after its replacement a few seconds later, such connections broke 34 reads of a rolling
   * replacement.
   */
  private void tidy(ServerHandle handle) {
    boolean leaves =
        handle.server().state() == ServerState.DRAINING || state.leaving().leaving(handle.id());
    if (leaves) {
      handle.pool().closeIdle();
    } else {
      handle.pool().sweep();
    }
  }

  private void record() {
    try {
      records.flush(ledger);
    } catch (PlatformException e) {
      state.timeline().record(EventKind.PLATFORM_UNAVAILABLE, "outcomes=unrecorded");
    }
  }

  private void repeat(Runnable task, LongSupplier delayMillis) {
    Runnable once =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("event=control_task_failed");
          } finally {
            repeat(task, delayMillis);
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

  /** Membership, departures, version and time line. */
  public ControlState state() {
    return state;
  }

  /** Accepted versions in the platform. */
  public ConfigurationStore store() {
    return store;
  }

  /** Contents that peers may ask for. */
  public ContentCache cache() {
    return cache;
  }

  /** Gossip with peers. */
  public Gossip gossip() {
    return gossip;
  }

  /** Services in force. */
  public ServiceRegistry registry() {
    return registry;
  }

  /** Probes of quiet servers. */
  public Prober prober() {
    return prober;
  }

  /** Counts of the peer protocol. */
  public PeerTraffic traffic() {
    return traffic;
  }

  /** Issuer of keys. */
  public KeyIssuer issuer() {
    return issuer;
  }

  /** Keys of this incarnation. */
  public OutcomeLedger ledger() {
    return ledger;
  }

  /** Outcome records. */
  public OutcomeRecords records() {
    return records;
  }

  /** Claims of callers' own keys. */
  public ClaimService claims() {
    return claims;
  }

  /** Claim transactions. */
  public ClaimBatcher batcher() {
    return batcher;
  }

  /** The clocks of the process. */
  public Clocks clocks() {
    return clocks;
  }
}
