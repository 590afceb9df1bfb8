package org.magnoliaswitch.front.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.magnoliaswitch.front.load.SeedOrder;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.peer.ListenerTeams;
import org.magnoliaswitch.front.peer.PeerSubscription;
import org.magnoliaswitch.front.peer.TeamNews;
import org.magnoliaswitch.front.peer.TeamReport;
import org.magnoliaswitch.front.process.ConfigurationConfirmation.Moment;

/**
 * Exchanges demands and allowances of teams with the seeds, of which this instance may be one. Does
 * nothing while the configuration has no teams. Runs on the control loop.
 */
final class TeamSync {
  /**
   * Time in which requests are collected for a report. It bounds what an open team may take beyond
   * its bucket, since the seed does not know of these requests yet.
   */
  private static final long COLLECT_MILLIS = 50;

  /** Interval at which tokens are passed on while another seed asks for them. */
  private static final long PASS_ON_MILLIS = 100;

  /** A request for tokens is answered at once unless a report was sent within this time. */
  private static final long MIN_PASS_ON_MILLIS = 20;

  /** A seed is sent a report at least this often, so that its messages count as current. */
  private static final long MAX_SILENCE_MILLIS = 300;

  /** Identifies this instance among the listeners of its own seed part. */
  private static final long LOCAL_LISTENER = 0;

  private final Environment environment;
  private final Loop loop;
  private final TeamQuotas.QuotaLinks links;
  private final IntFunction<Optional<PeerSubscription>> subscriptions;
  private final Optional<QuotaSeed> ownSeed;
  private final int ownPosition;
  private final AtomicBoolean flushPending = new AtomicBoolean();
  private final long[] reportedNanos;

  /**
   * Creates the exchange.
   *
   * @param links connections to the seeds, shared with {@link TeamQuotas}
   * @param subscriptions returns the connection to a seed by its position; empty for this instance
   * @param sender sends messages to listeners of this instance, if it is a seed
   */
  TeamSync(
      Environment environment,
      Loop loop,
      TeamQuotas.QuotaLinks links,
      IntFunction<Optional<PeerSubscription>> subscriptions,
      Consumer<Set<Long>> sender) {
    this.environment = environment;
    this.loop = loop;
    this.links = links;
    this.subscriptions = subscriptions;
    FrontSettings settings = environment.settings();
    this.ownPosition = settings.seeds().isEmpty() ? 0 : settings.seeds().indexOf(settings.peers());
    this.reportedNanos = new long[links.seeds().size()];
    this.ownSeed =
        ownPosition < 0
            ? Optional.empty()
            : Optional.of(
                new QuotaSeed(
                    settings.teams(),
                    links.seeds(),
                    ownPosition,
                    environment.confirmation(),
                    environment.clocks(),
                    loop,
                    environment.random(),
                    listeners -> answer(listeners, sender)));
    ownSeed.ifPresent(
        seed ->
            seed.logStates(
                new TeamMetrics(environment.log(), environment.metrics(), environment.clocks())));
    links.onUse(this::scheduleFlush);
  }

  /** Returns what this instance, as a seed, exchanges with its listeners. */
  ListenerTeams listenerTeams() {
    return ownSeed.<ListenerTeams>map(seed -> seed).orElse(ListenerTeams.NONE);
  }

  /** Applies the teams of the configuration in force, and keeps the own part as a seed current. */
  void tick() {
    ownSeed.ifPresent(seed -> seed.configure(environment.routes().get().teams()));
    if (ownSeed.isPresent() && teamsExist()) {
      flush();
    }
  }

  /**
   * Handles what a seed tells.
   *
   * @param upToDate whether this instance holds the seed's configuration or a newer one
   */
  void received(int seed, TeamNews news, boolean upToDate) {
    if (news.number() == 1 || links.at(seed).isEmpty()) {
      links.set(seed, new SeedLink());
    }
    SeedLink link = links.at(seed).orElseThrow();
    Optional<Moment> asked = link.received(news, environment.confirmation().now());
    if (upToDate && asked.isPresent()) {
      environment.confirmation().confirmed(asked.get().minusMillis(news.confirmationAgeMillis()));
    }
    boolean passesOn =
        ownSeed.isPresent() && !link.missingTokens(environment.confirmation().now()).isEmpty();
    long silentMillis =
        TimeUnit.NANOSECONDS.toMillis(environment.clocks().nanos() - reportedNanos[seed]);
    if (news.echoed() == 0
        || silentMillis >= (passesOn ? MIN_PASS_ON_MILLIS : MAX_SILENCE_MILLIS)) {
      report(seed, link);
    } else if (!news.requestedTokens().isEmpty()) {
      scheduleFlush();
    }
  }

  /** Handles the loss of the connection to a seed: what it has allowed is void. */
  void disconnected(int seed) {
    links.remove(seed);
  }

  private boolean teamsExist() {
    return !environment.routes().get().teams().isEmpty();
  }

  /** Schedules a report; called by any thread. */
  private void scheduleFlush() {
    scheduleFlush(COLLECT_MILLIS);
  }

  private void scheduleFlush(long delayMillis) {
    if (flushPending.compareAndSet(false, true)) {
      loop.afterMillis(delayMillis, this::flush);
    }
  }

  private void flush() {
    flushPending.set(false);
    for (int seed = 0; seed < links.seeds().size(); seed++) {
      int position = seed;
      if (seed == ownPosition) {
        ownSeed.ifPresent(own -> reportLocally(own, position));
      } else {
        links.at(seed).ifPresent(link -> reportIfAny(position, link));
      }
    }
    if (ownSeed.isPresent() && tokensRequested()) {
      scheduleFlush(PASS_ON_MILLIS);
    }
  }

  private boolean tokensRequested() {
    Moment now = environment.confirmation().now();
    return IntStream.range(0, links.seeds().size())
        .mapToObj(links::at)
        .flatMap(Optional::stream)
        .anyMatch(link -> link.requestsTokens(now));
  }

  private void reportIfAny(int seed, SeedLink link) {
    Optional<PeerSubscription> subscription = subscriptions.apply(seed);
    if (subscription.isEmpty() || !subscription.get().writable()) {
      return;
    }
    List<TeamReport.Demand> demands = demands(seed, link);
    if (!demands.isEmpty()) {
      send(seed, link, subscription.get(), demands);
    }
  }

  private void report(int seed, SeedLink link) {
    Optional<PeerSubscription> subscription = subscriptions.apply(seed);
    if (subscription.isPresent() && subscription.get().writable()) {
      send(seed, link, subscription.get(), demands(seed, link));
    }
  }

  private void send(
      int seed, SeedLink link, PeerSubscription subscription, List<TeamReport.Demand> demands) {
    reportedNanos[seed] = environment.clocks().nanos();
    subscription.report(link.report(demands, environment.confirmation().now()));
  }

  /** Returns the unreported requests and, if this instance is a seed, the tokens to pass on. */
  private List<TeamReport.Demand> demands(int seed, SeedLink link) {
    List<TeamReport.Demand> demands = new ArrayList<>(link.takeDemands());
    ownSeed.ifPresent(
        own ->
            link.missingTokens(environment.confirmation().now())
                .forEach(
                    (team, requested) -> {
                      double tokens = precedes(seed, team) ? own.take(team, requested) : 0;
                      if (tokens > 0) {
                        link.passedOn(team, tokens);
                        demands.add(new TeamReport.Demand(team, 0, 0, tokens));
                      }
                    }));
    return demands;
  }

  /** Whether a seed is responsible for a team before this instance is. */
  private boolean precedes(int seed, String team) {
    List<Integer> order = SeedOrder.of(team, links.seeds());
    return order.indexOf(seed) < order.indexOf(ownPosition);
  }

  private void reportLocally(QuotaSeed own, int position) {
    if (!teamsExist()) {
      return;
    }
    if (links.at(position).isEmpty()) {
      links.set(position, new SeedLink());
    }
    SeedLink link = links.at(position).orElseThrow();
    own.reported(LOCAL_LISTENER, link.report(link.takeDemands(), environment.confirmation().now()));
    own.nextNews(LOCAL_LISTENER).ifPresent(news -> receivedLocally(link, news));
  }

  private void receivedLocally(SeedLink link, TeamNews news) {
    var unused = link.received(news, environment.confirmation().now());
  }

  private void answer(Set<Long> listeners, Consumer<Set<Long>> sender) {
    if (listeners.contains(LOCAL_LISTENER) && links.at(ownPosition).isPresent()) {
      SeedLink link = links.at(ownPosition).orElseThrow();
      ownSeed
          .flatMap(seed -> seed.nextNews(LOCAL_LISTENER))
          .ifPresent(news -> receivedLocally(link, news));
    }
    sender.accept(listeners);
  }
}
