package org.magnoliaswitch.front.process;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.peer.PeerNews;
import org.magnoliaswitch.front.version.OperatorState;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Keeps what this instance believes fresh: from peers, and by reading the platform when the {@link
 * ReadingPlan} says so. Runs on the control loop.
 *
 * <p>One instance waits for changes of the configuration; a wait can go deaf, so it is short, and
 * while it fails the configuration is read like the servers.
 */
public final class NewsReader {
  /** Spread of the wait after a failed read: instances must not ask a returning store together. */
  private static final long RETRY_SPAN_MILLIS = 300;

  private static final long NANOS_BELOW_A_MILLI = TimeUnit.MILLISECONDS.toNanos(1) - 1;

  /** Smallest time between two looks at the plan. */
  private static final long MIN_CHECK_MILLIS = 20;

  private final NewsSource source;
  private final KnownState knownState;
  private final ReadingPlan plan;
  private final Loop loop;
  private final Environment environment;
  private final Clocks clocks;
  private final RandomGenerator random;
  private final EventLog log;
  private final Runnable changed;
  private final BooleanSupplier hearsPeers;
  private final CrashArchive archive;
  private final DiscoveryKeeper keeper = new DiscoveryKeeper();
  private final Freshness freshness = new Freshness();
  private final Freshness ownConfirmation = new Freshness();
  private final long startedNanos;
  private boolean waitHealthy;
  private boolean sourceLost;
  private long waitingSinceNanos;

  /**
   * Creates a reader.
   *
   * @param changed called when something newer than before is believed
   * @param hearsPeers whether other instances tell their news
   * @param archive is read whenever the platform is
   */
  public NewsReader(
      NewsSource source,
      KnownState knownState,
      ReadingPlan plan,
      Loop loop,
      Environment environment,
      Runnable changed,
      BooleanSupplier hearsPeers,
      CrashArchive archive) {
    this.source = source;
    this.knownState = knownState;
    this.plan = plan;
    this.loop = loop;
    this.environment = environment;
    this.clocks = environment.clocks();
    this.random = environment.random();
    this.log = environment.log();
    this.changed = changed;
    this.hearsPeers = hearsPeers;
    this.archive = archive;
    this.startedNanos = environment.clocks().nanos();
  }

  /** Begins to read. */
  public void start() {
    loop.execute(this::check);
  }

  /** Age of what is believed. */
  public long ageMillis() {
    return freshness.ageMillis(clocks.nanos());
  }

  /** Time since an own read or wait last told which configuration is the newest. */
  public long ownConfirmationMillis() {
    return ownConfirmation.ageMillis(clocks.nanos());
  }

  /** Takes what a peer knows. */
  public void heard(PeerNews news, ServerList servers) {
    long now = clocks.nanos();
    offer(new OperatorState(news.routes().orElse(RouteTable.EMPTY), news.evacuations()), "peer");
    if (servers.version() > knownState.servers().version()) {
      keeper.adopt(servers, now);
      knownState.offer(servers);
    }
    if (servers.known() && news.evacuations().known()) {
      freshness.confirmed(now - TimeUnit.MILLISECONDS.toNanos(news.ageMillis()));
    }
  }

  /** Evacuations go first: a request that finds its route must not find an evacuated server. */
  private void offer(OperatorState state, String told) {
    boolean evacuationsChanged = knownState.offer(state.evacuations(), told);
    boolean routesChanged = knownState.offer(state.routes(), told);
    if (evacuationsChanged || routesChanged) {
      changed.run();
    }
  }

  private void check() {
    long uptime = TimeUnit.NANOSECONDS.toMillis(clocks.nanos() - startedNanos);
    long wait = Math.min(plan.untilRead(ageMillis(), uptime), untilReleaseMillis());
    if (wait <= 0) {
      read();
    } else {
      loop.afterMillis(Math.max(MIN_CHECK_MILLIS, wait), this::check);
    }
  }

  private long untilReleaseMillis() {
    OptionalLong nanos = keeper.untilReleaseNanos(clocks.nanos());
    if (nanos.isEmpty()) {
      return Long.MAX_VALUE;
    }
    // Rounded up: a read a moment too early would keep the entries once more.
    return TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong() + NANOS_BELOW_A_MILLI);
  }

  private void read() {
    long asOf = clocks.nanos();
    if (waitHealthy) {
      source.servers(read -> serversRead(read, asOf));
    } else {
      source.operatorState(read -> configurationRead(read, asOf));
    }
  }

  private void configurationRead(NewsSource.Read<OperatorState> read, long asOf) {
    if (read instanceof NewsSource.Read.Failed<OperatorState> failed) {
      failed("configuration", failed.reason(), asOf);
      return;
    }
    take(read);
    ownConfirmation.confirmed(asOf);
    if (plan.waitsForChanges()) {
      waitHealthy = true;
      awaitChange();
    }
    source.servers(servers -> serversRead(servers, asOf));
  }

  private void awaitChange() {
    waitingSinceNanos = clocks.nanos();
    source.nextOperatorState(this::changeCame);
  }

  private void changeCame(NewsSource.Read<OperatorState> read) {
    if (read instanceof NewsSource.Read.Failed<OperatorState> failed) {
      waitHealthy = false;
      log.belief("wait_failed")
          .add("reason", failed.reason())
          .add("took_ms", millisSince(waitingSinceNanos))
          .add("age_ms", ageMillis())
          .add("own_confirmation_ms", ownConfirmationMillis())
          .write();
      return;
    }
    take(read);
    ownConfirmation.confirmed(waitingSinceNanos);
    awaitChange();
  }

  private long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(clocks.nanos() - nanos);
  }

  private void take(NewsSource.Read<OperatorState> read) {
    if (read instanceof NewsSource.Read.Known<OperatorState> known) {
      offer(known.value(), "store");
    }
  }

  private void serversRead(NewsSource.Read<ServerList> read, long asOf) {
    environment.metrics().count("platform.reads", "", "ended");
    switch (read) {
      case NewsSource.Read.Known<ServerList> known -> {
        if (sourceLost) {
          log.belief("source_regained").add("version", knownState.routesVersion()).write();
          sourceLost = false;
        }
        knownState.offer(keeper.read(known.value(), clocks.nanos()));
        freshness.confirmed(asOf);
        changed.run();
        archive.read();
        check();
      }
      case NewsSource.Read.Unchanged<ServerList> unchanged -> {
        freshness.confirmed(asOf);
        check();
      }
      case NewsSource.Read.Failed<ServerList> failed -> failed("servers", failed.reason(), asOf);
    }
  }

  private void failed(String what, String reason, long asOf) {
    log.belief("read_failed")
        .add("reading", what)
        .add("reason", reason)
        .add("took_ms", millisSince(asOf))
        .add("own_confirmation_ms", ownConfirmationMillis())
        .write();
    environment.metrics().count("platform.reads", "", "failed");
    keeper.failed();
    if (!sourceLost) {
      log.belief("source_lost")
          .add("reading", what)
          .add("reason", reason)
          .add("age_ms", ageMillis())
          .write();
    }
    sourceLost = true;
    long wait = plan.retryMillis(knownState.complete(), hearsPeers.getAsBoolean());
    loop.afterMillis(wait + random.nextLong(RETRY_SPAN_MILLIS), this::check);
  }
}
