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
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.load.WaitLimit;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.Route;

/** Finds servers for one request, and lets it wait in line while all of them are busy. */
final class Placing implements PendingQueue.Entry {
  /** Time between two looks for room while nothing is heard from servers. */
  private static final long LOOK_AGAIN_MILLIS = 12;

  /** The request that is placed. */
  interface Owner {
    /** Whether it still wants an answer. */
    boolean waiting();

    /** What may be done with it, as far as servers end under it. */
    Verdict verdict();

    /** Servers end under it, so none will get it. */
    void turnAway();

    /** Sends it to a server. */
    void send(ServerState server);

    /** No server will get it. */
    void giveUp(String reason, RetryAfter.Cause cause);
  }

  private final Loop loop;
  private final ServerFinder finder;
  private final PendingQueue<Placing> pending;
  private final Mechanisms mechanisms;
  private final Route route;
  private final String service;
  private final RequestTimes times;
  private final RequestReport report;
  private final Owner owner;
  private final Set<String> tried = new HashSet<>();
  private int searches;
  private boolean sought;
  private boolean queued;
  private Timeliness queuedTimeliness = Timeliness.IN_TIME;

  Placing(
      Loop loop,
      ServerFinder finder,
      PendingQueue<Placing> pending,
      Mechanisms mechanisms,
      Route route,
      String service,
      RequestTimes times,
      RequestReport report,
      Owner owner) {
    this.loop = loop;
    this.finder = finder;
    this.pending = pending;
    this.mechanisms = mechanisms;
    this.route = route;
    this.service = service;
    this.times = times;
    this.report = report;
    this.owner = owner;
  }

  /** Ids of the servers that the request was sent to. */
  Collection<String> tried() {
    return tried;
  }

  /** Looks for a server, and waits for one while all are busy. */
  void place() {
    if (!owner.waiting()) {
      return;
    }
    switch (owner.verdict()) {
      case ALLOWED, TRIAL -> search(this::found);
      case WAIT -> loop.afterMillis(LOOK_AGAIN_MILLIS, this::place);
      case REFUSED -> owner.turnAway();
    }
  }

  /** Looks once for a further server; nothing happens when there is none. */
  void findAnother(Consumer<ServerState> found) {
    search(
        result -> {
          if (result instanceof ServerFinder.Result.Chosen chosen) {
            found.accept(chosen.server());
          }
        });
  }

  /** Sends the request to a server; searches under way come to nothing. */
  void take(ServerState server) {
    leaveQueue();
    searches++;
    tried.add(server.entry().id());
    owner.send(server);
  }

  /** Ends the wait, if there is one. */
  void leaveQueue() {
    if (queued) {
      queued = false;
      pending.remove(service, this);
    }
  }

  /** A server's answer has told of room there: the first in line may take it. */
  void offerRoom(ServerState server) {
    Optional<Placing> first = pending.peek(service);
    if (first.isPresent() && finder.suits(server, first.get().query())) {
      // Deferred, so that the connection that brought the answer is back in its pool.
      loop.execute(() -> first.get().offered(server));
    }
  }

  /** Takes room that was offered, unless the request has gone elsewhere since. */
  void offered(ServerState server) {
    if (queued && !tried.contains(server.entry().id()) && server.acceptsWork()) {
      take(server);
    }
  }

  private void search(Consumer<ServerFinder.Result> then) {
    searches++;
    int asked = searches;
    finder.search(
        query(),
        tried,
        result -> {
          // While a search waits for health checks, an answer may have offered room: the request
          // went there, and a second send would run it twice.
          if (owner.waiting() && asked == searches) {
            then.accept(result);
          }
        });
  }

  private ServerQuery query() {
    Timeliness timeliness = times.timeliness();
    long allowed =
        timeliness == Timeliness.IN_TIME ? times.objectiveLeftNanos() : times.leftNanos();
    return new ServerQuery(route, service, timeliness, allowed);
  }

  private void found(ServerFinder.Result result) {
    if (!sought) {
      sought = true;
      finder.sought(service, times.timeliness(), result instanceof ServerFinder.Result.Chosen);
    }
    switch (result) {
      case ServerFinder.Result.Chosen chosen -> take(chosen.server());
      case ServerFinder.Result.Full full -> waitForRoom(full.waitNanos());
      case ServerFinder.Result.None none -> owner.giveUp("no_server", RetryAfter.Cause.BUSY);
    }
  }

  private void waitForRoom(long leastNanos) {
    double limit =
        WaitLimit.nanos(
            times.timeliness(), times.usualNanos(), route.objectiveNanos(), times.patienceNanos());
    if (times.waitedNanos() + leastNanos > limit || !mechanisms.enabled(Mechanism.WAITING)) {
      owner.giveUp("no_room", RetryAfter.Cause.BUSY);
      return;
    }
    if (!queued) {
      queued = true;
      queuedTimeliness = times.timeliness();
      pending.add(service, this);
      report.waits(service, times, limit, pending.size(service));
    }
    int current = searches;
    loop.afterMillis(LOOK_AGAIN_MILLIS, () -> lookAgain(current));
  }

  private void lookAgain(int asked) {
    if (queued && asked == searches) {
      place();
    }
  }

  @Override
  public Timeliness queuedTimeliness() {
    return queuedTimeliness;
  }

  @Override
  public int priority() {
    return route.priority();
  }

  @Override
  public long objectiveEndNanos() {
    return times.objectiveEndNanos();
  }
}
