package org.magnoliaswitch.front.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.version.Quota;

/** What one seed knows of one team: its bucket, its demand and its allowances. Not thread-safe. */
final class TeamAccount {
  /** Fill level below which instances without an allowance may not admit requests any more. */
  private static final double CLOSED_BELOW = 0.25;

  /** Fill level from which they may again; higher, so that the state does not change constantly. */
  private static final double OPEN_FROM = 0.4;

  /**
   * Allowances that may be outstanding per token while the bucket is at least half full. Most
   * instances use a part of theirs only.
   */
  private static final double OVERCOMMITMENT = 1.5;

  private static final double OVERCOMMITTED_FROM = 0.5;

  /**
   * Part of the tokens that is allowed while the bucket is low. If all were, a small team whose
   * instances rarely use their allowances would stay closed.
   */
  private static final double LOW_COMMITMENT = 0.5;

  /** Time in which an instance reports a request and receives its next allowance, in seconds. */
  private static final double ROUND_TRIP_SECONDS = 0.2;

  /** Time until an instance knows that the seed has closed a team, in seconds. */
  private static final double CLOSING_SECONDS = 0.1;

  /** Standard deviations of the demand in a round trip that an allowance covers. */
  private static final double DEMAND_MARGIN = 1.5;

  private static final double INSTANCE_SPAN_SECONDS = 1;
  private static final double TEAM_SPAN_SECONDS = 3;

  /** Time constant of the usual demand of a team without a limit. */
  private static final double USUAL_SPAN_SECONDS = 20;

  private static final double LIMITED_FACTOR = 1.2;
  private static final double UNLIMITED_FACTOR = 2.5;

  /** Standard deviations by which the demand of a small team exceeds its rate by chance. */
  private static final double CHANCE_MARGIN = 3;

  /** An instance that has not asked for this long needs no allowance. */
  private static final long DEMAND_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<Long, InstanceAccount> instances = new HashMap<>();
  private final QuotaBucket bucket;
  private final DemandRate demand;
  private final DemandRate usualDemand;
  private Quota quota;
  private boolean low;
  private boolean closed;

  /** The requests of one instance and its allowance, as totals since it connected. */
  private static final class InstanceAccount {
    private final DemandRate demand;
    private long counted;

    /** Highest total up to which the instance may believe that it is allowed to admit. */
    private long possiblyAllowed;

    private long allowed;

    /** Number of the message that contains the allowance; the highest while none does yet. */
    private long allowedSince = Long.MAX_VALUE;

    private long askedNanos;
    private boolean changed;

    InstanceAccount(long nowNanos) {
      this.demand = new DemandRate(INSTANCE_SPAN_SECONDS, nowNanos);
    }

    long outstanding() {
      return Math.max(0, possiblyAllowed - counted);
    }

    long remaining() {
      return Math.max(0, allowed - counted);
    }

    void allow(long remaining) {
      allowed = counted + remaining;
      possiblyAllowed = Math.max(possiblyAllowed, allowed);
      allowedSince = Long.MAX_VALUE;
      changed = true;
    }
  }

  TeamAccount(Quota quota, QuotaBucket bucket, long nowNanos) {
    this.quota = quota;
    this.bucket = bucket;
    this.demand = new DemandRate(TEAM_SPAN_SECONDS, nowNanos);
    this.usualDemand = new DemandRate(USUAL_SPAN_SECONDS, nowNanos);
    updateClosed(nowNanos);
  }

  void configure(Quota newQuota, double perSecond, double capacity, long nowNanos) {
    quota = newQuota;
    bucket.configure(perSecond, capacity, nowNanos);
  }

  boolean limited() {
    return quota.limited();
  }

  void report(long instance, int admitted, int asked, long nowNanos) {
    InstanceAccount account =
        instances.computeIfAbsent(instance, id -> new InstanceAccount(nowNanos));
    account.counted += admitted;
    account.changed = true;
    if (asked > 0) {
      account.demand.add(asked, nowNanos);
      account.askedNanos = nowNanos;
      demand.add(asked, nowNanos);
      usualDemand.add(asked, nowNanos);
    }
    bucket.refill(nowNanos);
    bucket.add(-admitted);
  }

  /** Records that an instance has processed the messages up to a number. */
  void acknowledge(long instance, long number) {
    InstanceAccount account = instances.get(instance);
    if (account != null && number >= account.allowedSince) {
      account.possiblyAllowed = account.allowed;
    }
  }

  /** Removes an instance; what it may have admitted without a report counts as admitted. */
  void remove(long instance) {
    InstanceAccount account = instances.remove(instance);
    if (account != null) {
      bucket.add((double) -account.outstanding());
    }
  }

  /** Distributes the tokens among the instances that ask; returns whether any got too few. */
  boolean allocate(RandomGenerator random, long nowNanos) {
    bucket.refill(nowNanos);
    updateClosed(nowNanos);
    List<InstanceAccount> wanting = new ArrayList<>();
    long wanted = 0;
    long outstanding = 0;
    for (InstanceAccount account : instances.values()) {
      long target = target(account, nowNanos);
      if (target < account.remaining()) {
        account.allow(target);
      } else if (target > account.remaining()) {
        wanting.add(account);
        wanted += target - account.remaining();
      }
      outstanding += account.outstanding();
    }
    long available = (long) Math.floor(Math.max(0, commitment() - outstanding));
    if (wanted > available) {
      Collections.shuffle(wanting, random);
    }
    distribute(wanting, wanted, available, nowNanos);
    return wanted > available || closed;
  }

  private long outstanding() {
    long outstanding = 0;
    for (InstanceAccount account : instances.values()) {
      outstanding += account.outstanding();
    }
    return outstanding;
  }

  private double commitment() {
    if (closed) {
      return low ? LOW_COMMITMENT * bucket.tokens() : bucket.tokens();
    }
    boolean overcommitted = bucket.tokens() >= OVERCOMMITTED_FROM * bucket.capacity();
    return overcommitted ? OVERCOMMITMENT * bucket.tokens() : bucket.tokens();
  }

  private void distribute(
      List<InstanceAccount> wanting, long wanted, long available, long nowNanos) {
    double share = wanted == 0 ? 0 : Math.min(1, available / (double) wanted);
    long left = available;
    for (InstanceAccount account : wanting) {
      long missing = target(account, nowNanos) - account.remaining();
      long granted = Math.min(left, (long) Math.ceil(missing * share));
      if (granted > 0) {
        left -= granted;
        account.allow(account.remaining() + granted);
      }
    }
  }

  /** Requests that an instance should be able to admit until its next allowance arrives. */
  private long target(InstanceAccount account, long nowNanos) {
    if (nowNanos - account.askedNanos > DEMAND_MEMORY_NANOS) {
      return 0;
    }
    double expected = account.demand.perSecond(nowNanos) * ROUND_TRIP_SECONDS;
    long target = (long) Math.ceil(expected + DEMAND_MARGIN * Math.sqrt(expected));
    return target <= QuotaAllowance.OPEN_ALLOWANCE && !closed ? 0 : target;
  }

  /**
   * Closes or opens the team. It is open only while the tokens cover what its callers ask for until
   * the seed can close it; otherwise a team that asks for many times its rate would exceed it
   * whenever its bucket has filled up again.
   */
  private void updateClosed(long nowNanos) {
    low = level() < (low ? OPEN_FROM : CLOSED_BELOW);
    double uncounted = demand.perSecond(nowNanos) * CLOSING_SECONDS;
    closed = low || bucket.tokens() < uncounted;
  }

  boolean closed() {
    return limited() && closed;
  }

  TeamStanding standing(long nowNanos) {
    double now = demand.perSecond(nowNanos);
    double reference = limited() ? quota.requestsPerSecond() : usualDemand.perSecond(nowNanos);
    double byChance = CHANCE_MARGIN * Math.sqrt(reference / (2 * TEAM_SPAN_SECONDS));
    double factor = limited() ? LIMITED_FACTOR : UNLIMITED_FACTOR;
    return now > factor * reference + byChance
        ? TeamStanding.OVER_DEMAND
        : TeamStanding.WITHIN_RATE;
  }

  double demandPerSecond(long nowNanos) {
    return demand.perSecond(nowNanos);
  }

  QuotaAllocator.Usage usage(long nowNanos) {
    bucket.refill(nowNanos);
    return new QuotaAllocator.Usage(
        quota.requestsPerSecond(), demand.perSecond(nowNanos), bucket.tokens(), bucket.capacity());
  }

  /** Tokens that are missing from a full bucket. */
  double missing(long nowNanos) {
    bucket.refill(nowNanos);
    return bucket.capacity() - bucket.tokens();
  }

  /** Fill level of the bucket, from 0 to 1; negative while more was admitted than it held. */
  double level() {
    return bucket.tokens() / Math.max(1e-9, bucket.capacity());
  }

  /** Adds tokens that another seed has taken out of its bucket. */
  void add(double tokens) {
    bucket.add(tokens);
  }

  /** Takes out tokens for another seed that are not allowed to any instance. */
  double take(double wanted, long nowNanos) {
    bucket.refill(nowNanos);
    double taken = Math.max(0, Math.min(wanted, bucket.tokens() - outstanding()));
    bucket.add(-taken);
    return taken;
  }

  /** Adds the instances whose allowances have changed since their last message. */
  void addChangedInstances(Set<Long> changed) {
    instances.forEach(
        (instance, account) -> {
          if (account.changed) {
            changed.add(instance);
          }
        });
  }

  /**
   * Appends the allowance of an instance to a message if it has changed.
   *
   * @param number number of the message
   */
  void appendChange(
      String team, long instance, long number, List<QuotaAllocator.Allowance> message) {
    InstanceAccount account = instances.get(instance);
    if (account != null && account.changed) {
      account.changed = false;
      account.allowedSince = number;
      message.add(new QuotaAllocator.Allowance(team, account.counted, account.remaining()));
    }
  }
}
