package org.magnoliaswitch.front.process;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.peer.ConfigurationUpdate;
import org.magnoliaswitch.front.peer.PeerUpdate;
import org.magnoliaswitch.front.version.OperatorState;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Keeps what this instance believes fresh: from peers, and by reading the platform when the {@link
 * PollingSchedule} says so. Runs on the control loop.
 *
 * <p>What operators declared and the servers are read apart and have ages of their own; an instance
 * is as fresh as the older of the two. One instance waits for changes of what operators declared. A
 * wait can go deaf while servers are still read, so it is short, and the age that only its answers
 * renew makes another instance read.
 */
public final class StatePoller {
  /** Spread of the wait after a failed read: instances must not ask a returning store together. */
  private static final long RETRY_SPAN_MILLIS = 300;

  private static final long NANOS_BELOW_A_MILLI = TimeUnit.MILLISECONDS.toNanos(1) - 1;

  /** Smallest time between two looks at the plan. */
  private static final long MIN_CHECK_MILLIS = 20;

  private final StateSource source;
  private final KnownState knownState;
  private final PollingSchedule plan;
  private final Loop loop;
  private final Environment environment;
  private final Clocks clocks;
  private final RandomGenerator random;
  private final EventLog log;
  private final Listener listener;
  private final BooleanSupplier hearsPeers;
  private final CrashArchive archive;
  private final DiscoveryReconciler reconciler = new DiscoveryReconciler();
  private final Freshness operatorState;
  private final Freshness servers = new Freshness();
  private final long startedNanos;
  private boolean waitHealthy;
  private boolean changesMissed;
  private boolean sourceLost;
  private boolean reading;
  private Loop.Timer nextCheck = () -> {};

  /** Is told what this instance has learnt. */
  public interface Listener {
    /** Something newer than before is believed, or what is believed was confirmed. */
    void changed();

    /** All of what is believed was read by this instance itself, just now. */
    void readItself();
  }

  /**
   * Creates a reader.
   *
   * @param hearsPeers whether other instances tell their news
   * @param archive is read whenever the platform is
   */
  public StatePoller(
      StateSource source,
      KnownState knownState,
      PollingSchedule plan,
      Loop loop,
      Environment environment,
      Listener listener,
      BooleanSupplier hearsPeers,
      CrashArchive archive) {
    this.source = source;
    this.knownState = knownState;
    this.plan = plan;
    this.loop = loop;
    this.environment = environment;
    this.operatorState = environment.routesFreshness();
    this.clocks = environment.clocks();
    this.random = environment.random();
    this.log = environment.log();
    this.listener = listener;
    this.hearsPeers = hearsPeers;
    this.archive = archive;
    this.startedNanos = environment.clocks().nanos();
  }

  /** Begins to read. */
  public void start() {
    loop.execute(this::check);
  }

  /** Age of what is believed: that of its oldest part. */
  public long ageMillis() {
    return Math.max(operatorStateAgeMillis(), serversAgeMillis());
  }

  /** Time since the configuration and the evacuations were known to be the newest. */
  public long operatorStateAgeMillis() {
    return operatorState.ageMillis(clocks.nanos());
  }

  /** Time since the list of servers was known to be the newest. */
  public long serversAgeMillis() {
    return servers.ageMillis(clocks.nanos());
  }

  /** Takes what a peer knows. */
  public void heard(PeerUpdate news, ServerList list) {
    long now = clocks.nanos();
    offer(new OperatorState(routes(news), news.evacuations()), "peer");
    if (list.version() > knownState.servers().version()) {
      reconciler.adopt(list, now);
      knownState.offer(list);
    }
    if (list.known() && news.evacuations().known()) {
      servers.confirmed(asOf(news.ageMillis()));
      long version = news.configuration().map(ConfigurationUpdate::version).orElse(0L);
      if (version <= knownState.routesVersion()) {
        long age =
            news.configuration().map(ConfigurationUpdate::ageMillis).orElse(news.ageMillis());
        operatorState.confirmed(asOf(age));
      }
    }
  }

  private long asOf(long ageMillis) {
    return clocks.nanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
  }

  /** The configuration that a peer's news lead to; empty if that is the one in force. */
  private RouteTable routes(PeerUpdate news) {
    return news.configuration()
        .flatMap(ConfigurationUpdate::update)
        .flatMap(update -> update.applyTo(knownState.routes()))
        .or(news::routes)
        .orElse(RouteTable.EMPTY);
  }

  /** Evacuations go first: a request that finds its route must not find an evacuated server. */
  private boolean offer(OperatorState state, String told) {
    boolean evacuationsChanged = knownState.offer(state.evacuations(), told);
    boolean routesChanged = knownState.offer(state.routes(), told);
    boolean news = evacuationsChanged || routesChanged;
    if (news) {
      listener.changed();
    }
    return news;
  }

  private void check() {
    long uptime = TimeUnit.NANOSECONDS.toMillis(clocks.nanos() - startedNanos);
    long wait = Math.min(plan.untilRead(ageOfOwnReadsMillis(), uptime), untilRetentionEndsMillis());
    if (wait <= 0 || changesMissed) {
      read();
    } else {
      checkAfterMillis(Math.max(MIN_CHECK_MILLIS, wait));
    }
  }

  /** While a wait for changes is out, only the servers can be read. */
  private long ageOfOwnReadsMillis() {
    return waitHealthy ? serversAgeMillis() : ageMillis();
  }

  private void checkAfterMillis(long millis) {
    nextCheck.cancel();
    nextCheck = loop.afterMillis(millis, this::check);
  }

  private long untilRetentionEndsMillis() {
    OptionalLong nanos = reconciler.untilRetentionEndsNanos(clocks.nanos());
    if (nanos.isEmpty()) {
      return Long.MAX_VALUE;
    }
    // Rounded up: a read a moment too early would keep the entries once more.
    return TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong() + NANOS_BELOW_A_MILLI);
  }

  private void read() {
    reading = true;
    long asOf = clocks.nanos();
    if (waitHealthy) {
      source.servers(read -> serversRead(read, asOf));
    } else {
      source.operatorState(read -> operatorStateRead(read, asOf));
    }
  }

  private void operatorStateRead(StateSource.Read<OperatorState> read, long asOf) {
    if (read instanceof StateSource.Read.Failed<OperatorState> failed) {
      failed("configuration", failed.reason(), asOf);
      return;
    }
    changesMissed = false;
    operatorState.confirmed(asOf);
    take(read);
    if (plan.waitsForChanges()) {
      waitHealthy = true;
      awaitChange();
    }
    source.servers(list -> serversRead(list, asOf));
  }

  private void awaitChange() {
    long begun = clocks.nanos();
    source.nextOperatorState(PollingSchedule.WAIT_MILLIS, read -> changeCame(read, begun));
  }

  private void changeCame(StateSource.Read<OperatorState> read, long begunNanos) {
    if (read instanceof StateSource.Read.Failed<OperatorState> failed) {
      waitFailed(failed.reason(), begunNanos);
      return;
    }
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(PollingSchedule.WAIT_MILLIS);
    boolean waited = clocks.nanos() - begunNanos >= waitNanos;
    operatorState.confirmed(waited ? begunNanos + waitNanos : begunNanos);
    if (!take(read)) {
      // Nothing is new but the age.
      listener.changed();
    }
    awaitChange();
  }

  /** Earlier answers may have left changes out, so the next read does not wait for its time. */
  private void waitFailed(String reason, long begunNanos) {
    waitHealthy = false;
    changesMissed = true;
    log.stateChange("wait_failed")
        .add("reason", reason)
        .add("took_ms", millisSince(begunNanos))
        .add("configuration_age_ms", operatorStateAgeMillis())
        .write();
    if (!reading) {
      checkAfterMillis(plan.afterFailedWaitMillis(millisSince(begunNanos)));
    }
  }

  private long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(clocks.nanos() - nanos);
  }

  /** Puts in force what was read; returns whether it is newer than before. */
  private boolean take(StateSource.Read<OperatorState> read) {
    return read instanceof StateSource.Read.Known<OperatorState> known
        && offer(known.value(), "store");
  }

  private void serversRead(StateSource.Read<ServerList> read, long asOf) {
    reading = false;
    environment.metrics().count("platform.reads", "", "ended");
    switch (read) {
      case StateSource.Read.Known<ServerList> known -> {
        if (sourceLost) {
          log.stateChange("source_regained").add("version", knownState.routesVersion()).write();
          sourceLost = false;
        }
        knownState.offer(reconciler.reconcile(known.value(), clocks.nanos()));
        servers.confirmed(asOf);
        listener.changed();
        listener.readItself();
        archive.read();
        check();
      }
      case StateSource.Read.Unchanged<ServerList> unchanged -> {
        servers.confirmed(asOf);
        check();
      }
      case StateSource.Read.Failed<ServerList> failed -> failed("servers", failed.reason(), asOf);
    }
  }

  private void failed(String what, String reason, long asOf) {
    reading = false;
    log.stateChange("read_failed")
        .add("reading", what)
        .add("reason", reason)
        .add("took_ms", millisSince(asOf))
        .add("configuration_age_ms", operatorStateAgeMillis())
        .write();
    environment.metrics().count("platform.reads", "", "failed");
    reconciler.readFailed();
    if (!sourceLost) {
      log.stateChange("source_lost")
          .add("reading", what)
          .add("reason", reason)
          .add("age_ms", ageMillis())
          .write();
    }
    sourceLost = true;
    long wait = plan.retryMillis(knownState.complete(), hearsPeers.getAsBoolean());
    checkAfterMillis(wait + random.nextLong(RETRY_SPAN_MILLIS));
  }
}
