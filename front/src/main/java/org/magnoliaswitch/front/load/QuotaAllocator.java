package org.magnoliaswitch.front.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamTable;

/**
 * Divides one seed's part of the teams' quotas among the instances. Free of I/O and clock; not
 * thread-safe.
 *
 * <p>Load pattern: teams of very uneven size send to many instances, each of which sees few
 * requests of a team, and some teams ask for a multiple of their quota. The quota holds over all
 * instances, and no request may wait for an answer of another instance. The seed therefore hands
 * out allowances ahead of the demand, in proportion to what was asked at each instance. Tokens are
 * only created by the refill of the seeds' buckets, each with an equal part of the rate, and are
 * moved between seeds; so the instances together stay within the quota whichever seeds they reach.
 */
public final class QuotaAllocator {
  /**
   * Part of the capacity that the buckets of other than the first seed hold. Their tokens must not
   * overflow in the time until the first seed asks for them, 0.1 to 0.2 s.
   */
  private static final double OTHER_SEED_CAPACITY = 0.5;

  /**
   * Time for which the bucket of a removed team is kept. A team that is removed and added again
   * must not get its burst twice within a window.
   */
  private static final long REMOVED_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Fill level below which other seeds are asked for their tokens. */
  private static final double REQUEST_BELOW = 0.95;

  private final QuotaBounds bounds;
  private final List<String> seeds;
  private final int ownPosition;
  private final RandomGenerator random;
  private final Map<String, TeamAccount> accounts = new HashMap<>();
  private final Map<Long, Set<String>> teamsByInstance = new HashMap<>();
  private final Map<String, Long> removedNanos = new HashMap<>();
  private final Set<String> unallocated = new HashSet<>();
  private final Set<String> closed = new HashSet<>();
  private final Set<String> overDemand = new HashSet<>();
  private boolean configured;

  /**
   * An allowance for an instance.
   *
   * @param counted admitted requests of the instance that the seed has counted since it connected
   * @param granted requests that the instance may admit beyond these
   */
  public record Allowance(String team, long counted, long granted) {}

  /**
   * Creates an allocator without teams.
   *
   * @param seeds names of all seeds, in the same order at every instance
   * @param ownPosition position of this seed in the list
   */
  public QuotaAllocator(
      QuotaBounds bounds, List<String> seeds, int ownPosition, RandomGenerator random) {
    this.bounds = bounds;
    this.seeds = List.copyOf(seeds);
    this.ownPosition = ownPosition;
    this.random = random;
  }

  /** Applies the teams of a configuration version. */
  public void configure(TeamTable teams, long nowNanos) {
    for (Team team : teams.teams()) {
      QuotaBucket.Size size =
          bounds.bucket(team.quota()).part(1.0 / seeds.size(), capacityShare(team.name()));
      removedNanos.remove(team.name());
      TeamAccount known = accounts.get(team.name());
      if (known == null) {
        QuotaBucket bucket = new QuotaBucket(size, bounds.windowNanos(), configured, nowNanos);
        accounts.put(team.name(), new TeamAccount(bounds, team.quota(), bucket, nowNanos));
      } else {
        known.configure(team.quota(), size, nowNanos);
      }
      unallocated.add(team.name());
    }
    configured |= !teams.isEmpty();
    for (String name : accounts.keySet()) {
      if (teams.named(name).isEmpty()) {
        removedNanos.putIfAbsent(name, nowNanos);
      }
    }
    removedNanos
        .entrySet()
        .removeIf(
            removed ->
                nowNanos - removed.getValue() > REMOVED_MEMORY_NANOS
                    && accounts.remove(removed.getKey()) != null);
  }

  private double capacityShare(String team) {
    boolean first = SeedOrder.of(team, seeds).getFirst() == ownPosition;
    return first ? 1 : OTHER_SEED_CAPACITY;
  }

  /**
   * Records what an instance reports of a team.
   *
   * @param admitted requests that it has admitted since its last report
   * @param asked all requests since then
   * @param tokens tokens that the instance, as another seed, passes on
   */
  public void report(
      long instance, String team, int admitted, int asked, double tokens, long nowNanos) {
    TeamAccount account = accounts.get(team);
    if (account != null) {
      teamsByInstance.computeIfAbsent(instance, id -> new HashSet<>()).add(team);
      account.report(instance, admitted, asked, nowNanos);
      account.add(tokens, nowNanos);
      unallocated.add(team);
    }
  }

  /** Records that an instance has processed this seed's messages up to a number. */
  public void acknowledge(long instance, long number) {
    for (String team : teamsByInstance.getOrDefault(instance, Set.of())) {
      account(team).ifPresent(account -> account.acknowledge(instance, number));
    }
  }

  /** Removes an instance that is not connected any more. */
  public void remove(long instance, long nowNanos) {
    Set<String> teams = teamsByInstance.remove(instance);
    if (teams != null) {
      teams.forEach(team -> account(team).ifPresent(account -> account.remove(instance, nowNanos)));
      unallocated.addAll(teams);
    }
  }

  /**
   * Allocates the tokens of the teams of which something was reported, and of those whose instances
   * got less than they ask for.
   *
   * @return whether there are such teams still, so that another allocation is due soon
   */
  public boolean allocate(long nowNanos) {
    Set<String> teams = new HashSet<>(unallocated);
    unallocated.clear();
    for (String name : teams) {
      account(name).ifPresent(account -> allocate(name, account, nowNanos));
    }
    return !unallocated.isEmpty();
  }

  private void allocate(String name, TeamAccount account, long nowNanos) {
    if (account.limited() && (account.allocate(random, nowNanos) || needsTokens(account))) {
      unallocated.add(name);
    }
    setMember(closed, name, account.closed());
    boolean over = account.standing(nowNanos) == TeamStanding.OVER_DEMAND;
    setMember(overDemand, name, over);
    if (over) {
      unallocated.add(name);
    }
  }

  private static void setMember(Set<String> names, String name, boolean member) {
    if (member) {
      names.add(name);
    } else {
      names.remove(name);
    }
  }

  private Optional<TeamAccount> account(String team) {
    return Optional.ofNullable(accounts.get(team));
  }

  /**
   * Returns the allowances of an instance that have changed since its last message.
   *
   * @param number number of the message that will contain them
   */
  public List<Allowance> changes(long instance, long number) {
    List<Allowance> changes = new ArrayList<>();
    for (String team : teamsByInstance.getOrDefault(instance, Set.of())) {
      account(team)
          .filter(TeamAccount::limited)
          .ifPresent(account -> account.appendChange(team, instance, number, changes));
    }
    return changes;
  }

  /** Returns the instances whose allowances have changed since their last message. */
  public Set<Long> changedInstances() {
    Set<Long> changed = new HashSet<>();
    unallocated.forEach(
        team -> account(team).ifPresent(account -> account.addChangedInstances(changed)));
    return changed;
  }

  /** Returns the teams of which only requests within an allowance may be admitted. */
  public Set<String> closedTeams() {
    return Set.copyOf(closed);
  }

  /** Returns the teams that ask for more than they are entitled to. */
  public Set<String> teamsOverDemand() {
    return Set.copyOf(overDemand);
  }

  /** Returns how many tokens each of the other seeds should pass on, by team. */
  public Map<String, Double> requestedTokens(long nowNanos) {
    Map<String, Double> requested = new HashMap<>();
    for (String name : unallocated) {
      account(name)
          .filter(account -> seeds.size() > 1 && account.limited())
          .ifPresent(account -> addRequested(name, account, requested, nowNanos));
    }
    return requested;
  }

  private void addRequested(
      String name, TeamAccount account, Map<String, Double> requested, long nowNanos) {
    double missing = account.missing(nowNanos);
    if (needsTokens(account)) {
      requested.put(name, missing / (seeds.size() - 1));
    }
  }

  /** Whether a team needs the tokens of other seeds; asked for before the bucket runs empty. */
  private boolean needsTokens(TeamAccount account) {
    return seeds.size() > 1 && account.level() < REQUEST_BELOW;
  }

  /** Takes tokens out of a team's bucket for another seed; returns how many. */
  public double take(String team, double wanted, long nowNanos) {
    return account(team).map(account -> account.take(wanted, nowNanos)).orElse(0.0);
  }

  /**
   * The quota of a team at this seed.
   *
   * @param perSecond rate of the team over all seeds; 0 without a limit
   * @param demandPerSecond requests that it asks for per second
   * @param tokens tokens in the bucket; negative if more was admitted than refilled
   * @param capacity tokens that a full bucket holds
   */
  public record Usage(double perSecond, double demandPerSecond, double tokens, double capacity) {}

  /** Returns how much of a team's quota is used at this seed; empty for an unknown team. */
  public Optional<Usage> usage(String team, long nowNanos) {
    return account(team).map(account -> account.usage(nowNanos));
  }

  /** Returns the demand of a team in requests per second. */
  public double demandPerSecond(String team, long nowNanos) {
    return account(team).map(account -> account.demandPerSecond(nowNanos)).orElse(0.0);
  }
}
