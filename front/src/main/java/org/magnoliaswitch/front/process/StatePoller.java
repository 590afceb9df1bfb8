package org.magnoliaswitch.front.process;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.peer.ConfigurationUpdate;
import org.magnoliaswitch.front.peer.PeerUpdate;
import org.magnoliaswitch.front.process.ConfigurationConfirmation.Moment;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.OperatorState;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Keeps the state of this instance up to date: from peers, and by reading the platform when the
 * {@link PollingSchedule} says so. Runs on the control loop.
 *
 * <p>The state declared by operators and the list of servers are read separately and have separate
 * ages; the age of an instance's state is the larger of the two. One instance waits for changes of
 * the declared state with long polls. Long polls can stop reporting changes while reads of the
 * servers still succeed. They are therefore short, and reads of the servers do not reset the age of
 * the declared state: if it grows, another instance reads.
 */
public final class StatePoller {
  /**
   * Range of the random part of the delay after a failed read, so that instances do not all call a
   * recovering store at once.
   */
  private static final long RETRY_SPAN_MILLIS = 300;

  private static final long MAX_NANOS_BELOW_MILLI = TimeUnit.MILLISECONDS.toNanos(1) - 1;

  /** Minimum time between two checks of the schedule. */
  private static final long MIN_CHECK_MILLIS = 20;

  /** Reason of a read that returned an earlier state than the one in force. */
  private static final String OUTDATED = "outdated";

  private final StateSource source;
  private final KnownState knownState;
  private final PollingSchedule schedule;
  private final Loop loop;
  private final Environment environment;
  private final Clocks clocks;
  private final RandomGenerator random;
  private final EventLog log;
  private final Listener listener;
  private final BooleanSupplier receivesFromPeers;
  private final CrashArchive archive;
  private final Freshness operatorState;
  private final RestoredSourceCheck restoredSource;
  private final ServerListSync servers;
  private final long startedNanos;
  private boolean longPolling;
  private boolean changesMissed;
  private boolean sourceLost;
  private boolean reading;
  private Loop.Timer nextCheck = () -> {};

  /** Receives notifications about the state of this instance. */
  public interface Listener {
    /** The state has become newer or has been confirmed. */
    void changed();

    /** This instance itself has just read all of the state from the platform. */
    void allRead();
  }

  /**
   * Creates a poller.
   *
   * @param receivesFromPeers whether other instances currently send their state to this one
   * @param archive crash archive, which is read whenever the platform has returned a list of
   *     servers
   */
  public StatePoller(
      StateSource source,
      KnownState knownState,
      PollingSchedule schedule,
      Loop loop,
      Environment environment,
      Listener listener,
      BooleanSupplier receivesFromPeers,
      CrashArchive archive) {
    this.source = source;
    this.knownState = knownState;
    this.schedule = schedule;
    this.loop = loop;
    this.environment = environment;
    this.servers = new ServerListSync(knownState, environment);
    this.operatorState = environment.routesFreshness();
    this.restoredSource =
        new RestoredSourceCheck(
            environment.confirmation(), environment.settings().teams().revocationNanos());
    this.clocks = environment.clocks();
    this.random = environment.random();
    this.log = environment.log();
    this.listener = listener;
    this.receivesFromPeers = receivesFromPeers;
    this.archive = archive;
    this.startedNanos = environment.clocks().nanos();
  }

  /** Starts polling on the control loop; the first check of the schedule runs at once. */
  public void start() {
    loop.execute(this::check);
  }

  /** Returns the age of the state, which is that of its oldest part. */
  public long ageMillis() {
    return Math.max(operatorStateAgeMillis(), serversAgeMillis());
  }

  /**
   * Returns the time since the configuration and the evacuations were last confirmed to be the
   * newest.
   */
  public long operatorStateAgeMillis() {
    return operatorState.ageMillis(clocks.nanos());
  }

  /** Returns the time since the list of servers was last confirmed to be the newest. */
  public long serversAgeMillis() {
    return servers.ageMillis();
  }

  /** Returns the list of servers and what is known about it. */
  ServerListSync servers() {
    return servers;
  }

  /** Applies the state that a peer has sent. */
  public void received(PeerUpdate update, ServerList list) {
    offer(new OperatorState(routes(update), update.evacuations()), "peer");
    servers.received(list, asOf(update.ageMillis()));
    if (list.known() && update.evacuations().known() && !outdated(update.evacuations())) {
      long version = update.configuration().map(ConfigurationUpdate::version).orElse(0L);
      if (version <= knownState.routesVersion()) {
        long age =
            update.configuration().map(ConfigurationUpdate::ageMillis).orElse(update.ageMillis());
        operatorState.confirmed(asOf(age));
      }
    }
  }

  /**
   * Whether evacuations were read before those in force. Such a state was the newest once, so its
   * age does not say that the one in force is.
   */
  private boolean outdated(Evacuations evacuations) {
    return evacuations.revision().precedes(knownState.evacuations().revision());
  }

  private long asOf(long ageMillis) {
    return clocks.nanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
  }

  /**
   * Returns the configuration that results from a peer's update; an empty one if the update
   * contains none.
   */
  private RouteTable routes(PeerUpdate update) {
    return update
        .configuration()
        .flatMap(ConfigurationUpdate::update)
        .flatMap(change -> change.applyTo(knownState.routes()))
        .orElse(RouteTable.EMPTY);
  }

  /** Applies the declared state and publishes it if anything is newer than before. */
  private void offer(OperatorState state, String origin) {
    if (store(state, origin)) {
      listener.changed();
    }
  }

  /**
   * Applies the declared state and returns whether anything is newer than before. Evacuations are
   * applied first: otherwise a request could find a new route and be sent to a server whose data
   * centre the same state declares as evacuated.
   */
  private boolean store(OperatorState state, String origin) {
    boolean evacuationsChanged = knownState.offer(state.evacuations(), origin);
    boolean routesChanged = knownState.offer(state.routes(), origin);
    return evacuationsChanged || routesChanged;
  }

  private void check() {
    long uptime = TimeUnit.NANOSECONDS.toMillis(clocks.nanos() - startedNanos);
    long wait =
        Math.min(schedule.untilRead(ageOfOwnReadsMillis(), uptime), untilRetentionEndsMillis());
    if (wait <= 0 || changesMissed) {
      read();
    } else {
      checkAfterMillis(Math.max(MIN_CHECK_MILLIS, wait));
    }
  }

  /**
   * Returns the age of the parts that the next read covers: while a long poll is pending, it covers
   * only the servers.
   */
  private long ageOfOwnReadsMillis() {
    return longPolling ? serversAgeMillis() : ageMillis();
  }

  private void checkAfterMillis(long millis) {
    nextCheck.cancel();
    nextCheck = loop.afterMillis(millis, this::check);
  }

  private long untilRetentionEndsMillis() {
    OptionalLong nanos = servers.untilRetentionEndsNanos();
    if (nanos.isEmpty()) {
      return Long.MAX_VALUE;
    }
    // Rounded up: a read slightly too early would retain the entries again.
    return TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong() + MAX_NANOS_BELOW_MILLI);
  }

  private void read() {
    reading = true;
    Moment asOf = environment.confirmation().now();
    if (longPolling) {
      source.servers(read -> serversRead(read, asOf.nanos()));
    } else {
      source.operatorState(read -> operatorStateRead(read, asOf));
    }
  }

  private void operatorStateRead(StateSource.Read<OperatorState> read, Moment asOf) {
    if (read instanceof StateSource.Read.Failed<OperatorState> failed) {
      failed("configuration", failed.reason(), asOf.nanos());
      return;
    }
    if (outdated(read)) {
      retryOutdated();
      return;
    }
    changesMissed = false;
    apply(read, asOf.nanos());
    confirm(read, asOf);
    if (schedule.waitsForChanges()) {
      longPolling = true;
      awaitChange();
    }
    source.servers(list -> serversRead(list, asOf.nanos()));
  }

  private void awaitChange() {
    Moment begun = environment.confirmation().now();
    source.nextOperatorState(PollingSchedule.WAIT_MILLIS, read -> changeReceived(read, begun));
  }

  private void changeReceived(StateSource.Read<OperatorState> read, Moment begun) {
    long begunNanos = begun.nanos();
    if (read instanceof StateSource.Read.Failed<OperatorState> failed) {
      waitFailed(failed.reason(), begunNanos);
      return;
    }
    if (outdated(read)) {
      waitFailed(OUTDATED, begunNanos);
      return;
    }
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(PollingSchedule.WAIT_MILLIS);
    boolean waited = clocks.nanos() - begunNanos >= waitNanos;
    // The platform holds a call without changes until the end of the wait, so a response after that
    // confirms the state up to then. When an earlier response was created is unknown, so it counts
    // as confirming only the state at the start of the call.
    boolean changed = apply(read, waited ? begunNanos + waitNanos : begunNanos);
    confirm(read, waited ? begun.plusMillis(PollingSchedule.WAIT_MILLIS) : begun);
    if (!changed) {
      // Only the age is new.
      listener.changed();
    }
    awaitChange();
  }

  /** Records that the configuration in force was the newest when the store was read. */
  private void confirm(StateSource.Read<OperatorState> read, Moment asOf) {
    Moment now = environment.confirmation().now();
    if (read instanceof StateSource.Read.Known<OperatorState> known) {
      restoredSource.read(known.value(), now);
    }
    boolean newest = restoredSource.confirms(knownState.routesVersion(), now);
    if (newest && source.newestConfigurationDecoded()) {
      environment.confirmation().confirmed(asOf);
    }
  }

  /**
   * Handles a failed long poll. Earlier responses may have missed changes, so the next read does
   * not wait until it is due.
   */
  private void waitFailed(String reason, long begunNanos) {
    longPolling = false;
    changesMissed = true;
    log.stateChange("wait_failed")
        .add("reason", reason)
        .add("took_ms", millisSince(begunNanos))
        .add("configuration_age_ms", operatorStateAgeMillis())
        .write();
    if (!reading) {
      checkAfterMillis(schedule.afterFailedWaitMillis(millisSince(begunNanos)));
    }
  }

  private long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(clocks.nanos() - nanos);
  }

  private boolean outdated(StateSource.Read<OperatorState> read) {
    return read instanceof StateSource.Read.Known<OperatorState> known
        && outdated(known.value().evacuations());
  }

  /**
   * Applies what was read, and then records its age: otherwise requests for what is new would be
   * rejected for good by the earlier configuration, which would count as current.
   *
   * @return whether anything is newer than before
   */
  private boolean apply(StateSource.Read<OperatorState> read, long asOfNanos) {
    boolean changed =
        read instanceof StateSource.Read.Known<OperatorState> known
            && store(known.value(), "store");
    operatorState.confirmed(asOfNanos);
    if (changed) {
      listener.changed();
    }
    return changed;
  }

  private void serversRead(StateSource.Read<ServerList> read, long asOf) {
    reading = false;
    environment.metrics().count("platform.reads", "", "ended");
    switch (read) {
      case StateSource.Read.Known<ServerList> known -> {
        if (servers.read(known.value(), asOf)) {
          allRead();
        } else {
          retryOutdated();
        }
      }
      case StateSource.Read.Unchanged<ServerList> unchanged -> {
        servers.unchanged(asOf);
        check();
      }
      case StateSource.Read.Failed<ServerList> failed -> failed("servers", failed.reason(), asOf);
    }
  }

  private void allRead() {
    if (sourceLost) {
      log.stateChange("source_regained").add("version", knownState.routesVersion()).write();
      sourceLost = false;
    }
    listener.changed();
    listener.allRead();
    archive.read();
    check();
  }

  private void failed(String part, String reason, long asOf) {
    reading = false;
    log.stateChange("read_failed")
        .add("reading", part)
        .add("reason", reason)
        .add("took_ms", millisSince(asOf))
        .add("configuration_age_ms", operatorStateAgeMillis())
        .write();
    environment.metrics().count("platform.reads", "", "failed");
    servers.readFailed(asOf);
    if (!sourceLost) {
      log.stateChange("source_lost")
          .add("reading", part)
          .add("reason", reason)
          .add("age_ms", ageMillis())
          .write();
    }
    sourceLost = true;
    retry();
  }

  /** Handles a read that was overtaken by a newer state: it confirms nothing. */
  private void retryOutdated() {
    reading = false;
    environment.metrics().count("platform.reads", "", OUTDATED);
    retry();
  }

  private void retry() {
    long wait = schedule.retryMillis(knownState.complete(), receivesFromPeers.getAsBoolean());
    checkAfterMillis(wait + random.nextLong(RETRY_SPAN_MILLIS));
  }
}
