package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.QuotaAllowance;
import org.magnoliaswitch.front.load.QuotaReturns;
import org.magnoliaswitch.front.load.SeedOrder;
import org.magnoliaswitch.front.load.TeamStanding;
import org.magnoliaswitch.front.process.ConfigurationConfirmation.Moment;
import org.magnoliaswitch.front.version.Team;

/**
 * Admits requests within the quotas of their teams, by what the seeds have allowed. No call waits
 * for another instance. Runs on the loop of the requests.
 */
public final class TeamQuotas {
  private final QuotaLinks links;
  private final Clocks clocks;
  private final RandomGenerator random;
  private final InstanceCount instances;
  private final long maxReturnNanos;
  private final Map<String, List<Integer>> seedOrders = new HashMap<>();
  private final Map<String, QuotaReturns> returns = new HashMap<>();

  /** The connections to the seeds, by their position in the settings; replaced as a whole. */
  public static final class QuotaLinks {
    private final List<String> seeds;
    private final AtomicReference<Map<Integer, SeedLink>> links = new AtomicReference<>(Map.of());
    private volatile Runnable onUse = () -> {};

    public QuotaLinks(List<String> seeds) {
      this.seeds = List.copyOf(seeds);
    }

    /**
     * Returns the links to the seeds of the settings; an instance without seeds is its own seed.
     */
    public static QuotaLinks of(FrontSettings settings) {
      List<InetSocketAddress> seeds =
          settings.seeds().isEmpty() ? List.of(settings.peers()) : settings.seeds();
      return new QuotaLinks(
          seeds.stream().map(seed -> seed.getHostString() + ":" + seed.getPort()).toList());
    }

    List<String> seeds() {
      return seeds;
    }

    Optional<SeedLink> at(int seed) {
      return Optional.ofNullable(links.get().get(seed));
    }

    void set(int seed, SeedLink link) {
      Map<Integer, SeedLink> next = new HashMap<>(links.get());
      next.put(seed, link);
      links.set(Map.copyOf(next));
    }

    void remove(int seed) {
      Map<Integer, SeedLink> next = new HashMap<>(links.get());
      next.remove(seed);
      links.set(Map.copyOf(next));
    }

    /** Sets what runs after a request was counted; it must not block. */
    void onUse(Runnable action) {
      onUse = action;
    }
  }

  public TeamQuotas(
      QuotaLinks links,
      Clocks clocks,
      RandomGenerator random,
      InstanceCount instances,
      TeamBounds bounds) {
    this.links = links;
    this.clocks = clocks;
    this.random = random;
    this.instances = instances;
    this.maxReturnNanos = bounds.quota().windowNanos();
  }

  /** Admits a request of a team if the quota allows it. */
  public Admission admit(Team team) {
    Optional<SeedLink> home = home(team.name());
    if (home.isEmpty()) {
      return team.quota().limited()
          ? new Admission.Unknown()
          : new Admission.Admitted(new Admission.Unlimited(team));
    }
    SeedLink link = home.get();
    QuotaAllowance allowance = link.allowance(team.name());
    if (!team.quota().limited()) {
      allowance.countAsked();
      links.onUse.run();
      return new Admission.Admitted(new Admission.Unlimited(team));
    }
    Admission.QuotaState state =
        link.state(team.name(), new Moment(clocks.nanos(), clocks.millis()));
    boolean admitted = allowance.tryAdmit(state == Admission.QuotaState.OPEN);
    links.onUse.run();
    QuotaReturns schedule =
        returns.computeIfAbsent(team.name(), name -> new QuotaReturns(clocks.nanos()));
    if (admitted) {
      schedule.recordAdmitted(clocks.nanos());
      return new Admission.Admitted(new Admission.Limited(team, allowance));
    }
    double evenRate = team.quota().requestsPerSecond() / Math.max(1, instances.count());
    return new Admission.OverQuota(
        schedule.nanos(evenRate, maxReturnNanos, random, clocks.nanos()), state);
  }

  /** Returns whether a team asks for more than its rate, as far as known. */
  public TeamStanding standing(String team) {
    return home(team)
        .filter(link -> link.states().overDemand().contains(team))
        .map(link -> TeamStanding.OVER_DEMAND)
        .orElse(TeamStanding.WITHIN_RATE);
  }

  /** Returns the age of what is known about a team's quota in milliseconds; -1 if nothing is. */
  public long knownSinceMillis(String team) {
    Moment now = new Moment(clocks.nanos(), clocks.millis());
    return home(team).map(link -> link.ageMillis(now)).orElse(-1L);
  }

  /** Returns the first seed in the team's order from which current messages arrive. */
  private Optional<SeedLink> home(String team) {
    Moment now = new Moment(clocks.nanos(), clocks.millis());
    List<Integer> order =
        seedOrders.computeIfAbsent(team, name -> SeedOrder.of(name, links.seeds()));
    for (int seed : order) {
      Optional<SeedLink> link = links.at(seed);
      if (link.isPresent() && link.get().fresh(now)) {
        return link;
      }
    }
    return Optional.empty();
  }
}
