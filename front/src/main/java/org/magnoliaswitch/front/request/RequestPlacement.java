package org.magnoliaswitch.front.request;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaswitch.core.crash.Verdict;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.PendingQueue;
import org.magnoliaswitch.front.load.RetryAfter;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.TeamStanding;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.load.WaitLimit;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.Route;

/** Finds servers for one request, and keeps it in a queue while all of them are busy. */
final class RequestPlacement implements PendingQueue.Entry {
  /** Interval between two searches for capacity while no response of a server reports any. */
  private static final long SEARCH_INTERVAL_MILLIS = 12;

  /** The exchange whose request is placed; it makes the attempts and responds to the caller. */
  interface Owner {
    /** Whether a server is to be found for the request, which is at no server now. */
    boolean awaitsServer();

    /** Whether the request may be sent now, for an idempotent one also beside an open attempt. */
    boolean mayBeSent();

    /** What may be done with the request, considering the servers that crashed while serving it. */
    Verdict verdict();

    /** Refuses the request because it crashes servers. */
    void refuseCrashing();

    /** Starts an attempt at a server. */
    void startAttempt(ServerState server);

    /** Ends the request because no server gets it. */
    void giveUp(String reason, RetryAfter.Cause cause);
  }

  /**
   * The request that is placed.
   *
   * @param service service whose servers may get it
   * @param access its right to be sent
   */
  record Request(
      Route route, String service, RequestTimes times, TeamAccess access, RequestReport report) {}

  private final Loop loop;
  private final ServerFinder finder;
  private final PendingQueue<RequestPlacement> pendingQueue;
  private final Mechanisms mechanisms;
  private final Route route;
  private final String service;
  private final RequestTimes times;
  private final TeamAccess access;
  private final RequestReport report;
  private final Owner owner;
  private final Set<String> attemptedServerIds = new HashSet<>();
  private Loop.Timer timer = () -> {};
  private int searchCount;
  private boolean firstSearchDone;
  private boolean held;
  private boolean queued;
  private Timeliness queuedTimeliness = Timeliness.IN_TIME;
  private TeamStanding queuedStanding = TeamStanding.WITHIN_RATE;

  RequestPlacement(
      Loop loop,
      ServerFinder finder,
      PendingQueue<RequestPlacement> pendingQueue,
      Mechanisms mechanisms,
      Request request,
      Owner owner) {
    this.loop = loop;
    this.finder = finder;
    this.pendingQueue = pendingQueue;
    this.mechanisms = mechanisms;
    this.route = request.route();
    this.service = request.service();
    this.times = request.times();
    this.access = request.access();
    this.report = request.report();
    this.owner = owner;
  }

  /** Ids of the servers to which the request was sent. */
  Collection<String> attemptedServerIds() {
    return attemptedServerIds;
  }

  /**
   * Searches for a server, and waits for one while all are busy or the request is suspected of
   * crashing servers. Does nothing while the request is at a server.
   */
  void place() {
    if (!owner.awaitsServer()) {
      return;
    }
    switch (owner.verdict()) {
      case ALLOWED, TRIAL -> search(this::handleResult);
      case WAIT -> hold();
      case REFUSED -> owner.refuseCrashing();
    }
  }

  /** Searches once for a further server; does nothing if there is none. */
  void findFurther(Consumer<ServerState> action) {
    search(
        result -> {
          if (result instanceof ServerFinder.Result.Chosen chosen) {
            action.accept(chosen.server());
          }
        });
  }

  /** Sends the request to a server, which ends whatever else was to find one. */
  void sendTo(ServerState server) {
    stop();
    attemptedServerIds.add(server.entry().id());
    owner.startAttempt(server);
  }

  /** Ends the search for a server: timers, pending searches and offers have no effect any more. */
  void stop() {
    leaveQueue();
    timer.cancel();
    searchCount++;
  }

  private void leaveQueue() {
    if (queued) {
      queued = false;
      pendingQueue.remove(service, this);
    }
  }

  /**
   * Waits for the verdict on the request. It leaves the queue meanwhile, because a server that was
   * offered to it could not get it, and the requests behind it would not get the offer either.
   */
  private void hold() {
    if (!held) {
      held = true;
      report.requestHeld(service);
    }
    stop();
    placeLater();
  }

  private void placeLater() {
    timer.cancel();
    timer = loop.afterMillis(SEARCH_INTERVAL_MILLIS, this::place);
  }

  /**
   * Offers free capacity, reported by a response of the server, to the first request in the queue.
   */
  void offerCapacity(ServerState server) {
    Optional<RequestPlacement> first = pendingQueue.peek(service);
    if (first.isPresent() && finder.isSuitable(server, first.get().query())) {
      // Deferred, so that the connection that brought the response is back in its pool.
      loop.execute(() -> first.get().acceptOffer(server));
    }
  }

  /** Accepts offered capacity, unless the request has been sent elsewhere since. */
  void acceptOffer(ServerState server) {
    if (!queued || attemptedServerIds.contains(server.entry().id()) || !server.acceptsWork()) {
      return;
    }
    switch (owner.verdict()) {
      case ALLOWED, TRIAL -> sendTo(server);
      case WAIT -> hold();
      case REFUSED -> owner.refuseCrashing();
    }
  }

  private void search(Consumer<ServerFinder.Result> action) {
    searchCount++;
    int searchNumber = searchCount;
    finder.search(
        query(),
        attemptedServerIds,
        result -> {
          // While a search waits for health checks, a response may have offered capacity, and the
          // request may have been sent there; sending it again could execute it twice.
          if (owner.mayBeSent() && searchNumber == searchCount) {
            action.accept(result);
          }
        });
  }

  private ServerQuery query() {
    Timeliness timeliness = times.timeliness();
    long allowed =
        timeliness == Timeliness.IN_TIME ? times.objectiveRemainingNanos() : times.remainingNanos();
    return new ServerQuery(route, service, timeliness, access.standing(), allowed);
  }

  private void handleResult(ServerFinder.Result result) {
    if (!firstSearchDone) {
      firstSearchDone = true;
      finder.recordFirstSearch(
          service, times.timeliness(), result instanceof ServerFinder.Result.Chosen);
    }
    switch (result) {
      case ServerFinder.Result.Chosen chosen -> sendTo(chosen.server());
      case ServerFinder.Result.Full full -> waitForCapacity(full.waitNanos());
      case ServerFinder.Result.None none -> owner.giveUp("no_server", RetryAfter.Cause.BUSY);
    }
  }

  private void waitForCapacity(long minWaitNanos) {
    double limit =
        WaitLimit.nanos(
            times.timeliness(),
            times.usualLatencyNanos(),
            route.objectiveNanos(),
            times.callerTimeoutNanos());
    if (times.waitedNanos() + minWaitNanos > limit || !mechanisms.enabled(Mechanism.WAITING)) {
      owner.giveUp("no_room", RetryAfter.Cause.BUSY);
      return;
    }
    if (!queued) {
      queued = true;
      queuedTimeliness = times.timeliness();
      queuedStanding = access.standing();
      pendingQueue.add(service, this);
      report.requestQueued(service, times, limit, pendingQueue.size(service));
    }
    placeLater();
  }

  @Override
  public Timeliness queuedTimeliness() {
    return queuedTimeliness;
  }

  @Override
  public int teamPriority() {
    return access.priority();
  }

  @Override
  public int priority() {
    return route.priority();
  }

  @Override
  public TeamStanding queuedStanding() {
    return queuedStanding;
  }

  @Override
  public long objectiveEndNanos() {
    return times.objectiveEndNanos();
  }
}
