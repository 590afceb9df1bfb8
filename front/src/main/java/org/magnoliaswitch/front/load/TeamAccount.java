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
  /**
   * Allowances that may be outstanding per token while the bucket of an open team is at least half
   * full. Most instances use a part of theirs only.
   */
  private static final double OVERCOMMITMENT = 2;

  private static final double OVERCOMMITTED_FROM = 0.5;

  /**
   * Part of the tokens that is allowed while the bucket is low. If all were, a small team whose
   * instances rarely use their allowances would stay closed.
   */
  private static final double LOW_COMMITMENT = 0.5;

  private static final double LOW_BELOW = 0.25;

  /** Time in which an instance reports a request and receives its next allowance, in seconds. */
  private static final double ROUND_TRIP_SECONDS = 0.2;

  /** Time in which an instance reports what it has admitted, in seconds. */
  private static final double REPORT_SECONDS = 0.1;

  /** Time until an instance knows that the seed has closed a team, in seconds. */
  private static final double CLOSING_SECONDS = 0.1;

  /** Time until an instance knows that the seed does not answer any more, in seconds. */
  private static final double SILENCE_SECONDS = 0.4;

  /**
   * Reserves that an opened team may use up until the instances know that the seed does not answer.
   * A team must be opened at twice its rate: the allowances of a closed one may all be at instances
   * that rarely see it.
   */
  private static final double SILENCE_RESERVE = 1.5;

  /** Tokens that an open team has at least if it asks for a multiple of its rate. */
  private static final double MIN_OPEN_TOKENS = 1;

  /** Tokens beyond the closing level with which a team is opened again. */
  private static final double REOPENING_TOKENS = 1;

  /** Standard deviations of the demand in a round trip that an allowance covers. */
  private static final double DEMAND_MARGIN = 3;

  /** Multiple of its rate from which a team gets nothing of the reserve. */
  private static final double NO_RESERVE_FROM = 1.5;

  /** Multiple of its rate that a team is assumed to ask for if its demand is not known. */
  private static final double ASSUMED_MULTIPLE = 4;

  /** Standard deviations by which a small team may exceed its rate without losing the reserve. */
  private static final double RESERVE_MARGIN = 2;

  /** Time in which the demand of a team becomes known. */
  private static final long DEMAND_KNOWN_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time after which a demand has to become known again. */
  private static final long DEMAND_FORGOTTEN_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final double INSTANCE_SPAN_SECONDS = 1;
  private static final double TEAM_SPAN_SECONDS = 3;

  /** Time constant of the demand by which a sudden multiple is noticed. */
  private static final double LATEST_SPAN_SECONDS = 0.3;

  /** Time constant of the usual demand of a team without a limit. */
  private static final double USUAL_SPAN_SECONDS = 20;

  private static final double LIMITED_FACTOR = 1.2;
  private static final double UNLIMITED_FACTOR = 2.5;

  /** Standard deviations by which the demand of a small team exceeds its rate by chance. */
  private static final double CHANCE_MARGIN = 3;

  /** An instance that has not asked for this long needs no allowance. */
  private static final long DEMAND_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final QuotaBounds bounds;
  private final Map<Long, InstanceAccount> instances = new HashMap<>();
  private final QuotaBucket bucket;
  private final DemandRate demand;
  private final DemandRate latestDemand;
  private final DemandRate usualDemand;
  private Quota quota;
  private boolean closed;
  private long askedNanos;
  private long askedSinceNanos;
  private long passedOnNanos = Long.MIN_VALUE / 2;

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

  TeamAccount(QuotaBounds bounds, Quota quota, QuotaBucket bucket, long nowNanos) {
    this.bounds = bounds;
    this.quota = quota;
    this.askedNanos = nowNanos - DEMAND_FORGOTTEN_NANOS;
    this.askedSinceNanos = nowNanos;
    this.bucket = bucket;
    this.demand = new DemandRate(TEAM_SPAN_SECONDS, nowNanos);
    this.latestDemand = new DemandRate(LATEST_SPAN_SECONDS, nowNanos);
    this.usualDemand = new DemandRate(USUAL_SPAN_SECONDS, nowNanos);
    updateClosed(nowNanos);
  }

  void configure(Quota newQuota, QuotaBucket.Size size, long nowNanos) {
    quota = newQuota;
    bucket.configure(size, nowNanos);
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
      if (nowNanos - askedNanos >= DEMAND_FORGOTTEN_NANOS) {
        askedSinceNanos = nowNanos;
      }
      askedNanos = nowNanos;
      account.demand.add(asked, nowNanos);
      account.askedNanos = nowNanos;
      demand.add(asked, nowNanos);
      latestDemand.add(asked, nowNanos);
      usualDemand.add(asked, nowNanos);
    }
    bucket.refill(nowNanos);
    bucket.take(admitted, nowNanos);
  }

  /** Records that an instance has processed the messages up to a number. */
  void acknowledge(long instance, long number) {
    InstanceAccount account = instances.get(instance);
    if (account != null && number >= account.allowedSince) {
      account.possiblyAllowed = account.allowed;
    }
  }

  /**
   * Removes an instance. What it may have admitted without a report counts as admitted: what it was
   * allowed, or what it asks for until it reports if that is more, as at an open team.
   */
  void remove(long instance, long nowNanos) {
    InstanceAccount account = instances.remove(instance);
    if (account != null) {
      double unreported = Math.ceil(account.demand.perSecond(nowNanos) * REPORT_SECONDS);
      bucket.take(Math.max(unreported, (double) account.outstanding()), nowNanos);
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
      boolean low = bucket.tokens() < LOW_BELOW * bucket.capacity();
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
   * the seed has closed it, and is opened only if they also cover what its callers ask for until
   * the instances notice that the seed does not answer any more. Otherwise a team that asks for
   * many times its rate would exceed it whenever its bucket has filled up again.
   *
   * <p>A team that asks for about its rate may use the reserve as well, so that a few requests that
   * arrive together by chance do not close it.
   */
  private void updateClosed(long nowNanos) {
    double perSecond = highestDemand(nowNanos);
    double reserve = bounds.reserve(quota);
    double toStayOpen =
        Math.max(MIN_OPEN_TOKENS, perSecond * CLOSING_SECONDS) - reserveShare(nowNanos) * reserve;
    double untilSilent = perSecond * SILENCE_SECONDS - SILENCE_RESERVE * reserve;
    double toOpen = Math.max(toStayOpen + REOPENING_TOKENS, untilSilent);
    closed = bucket.tokens() < (closed ? toOpen : toStayOpen);
  }

  /**
   * The demand in requests per second that the team may have. While tokens were passed on, another
   * seed counted the requests; if it is gone, what the team asks for is not known yet.
   */
  private double highestDemand(long nowNanos) {
    double counted = Math.max(demand.perSecond(nowNanos), latestDemand.perSecond(nowNanos));
    return nowNanos - passedOnNanos < DEMAND_KNOWN_NANOS
        ? Math.max(counted, ASSUMED_MULTIPLE * quota.requestsPerSecond())
        : counted;
  }

  /** Part of the reserve that the team may use; nothing while its demand is not known. */
  private double reserveShare(long nowNanos) {
    if (nowNanos - askedSinceNanos < DEMAND_KNOWN_NANOS || !quota.limited()) {
      return 0;
    }
    double rate = quota.requestsPerSecond();
    double byChance = RESERVE_MARGIN * deviation(rate);
    double multiple = (demand.perSecond(nowNanos) - byChance) / rate;
    return Math.clamp(NO_RESERVE_FROM - multiple, 0, 1);
  }

  boolean closed() {
    return limited() && closed;
  }

  /** Standard deviation of the counted demand of a team that asks for a rate by chance. */
  private static double deviation(double perSecond) {
    return Math.sqrt(perSecond / (2 * TEAM_SPAN_SECONDS));
  }

  TeamStanding standing(long nowNanos) {
    double now = demand.perSecond(nowNanos);
    double reference = limited() ? quota.requestsPerSecond() : usualDemand.perSecond(nowNanos);
    double byChance = CHANCE_MARGIN * deviation(reference);
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
  void add(double tokens, long nowNanos) {
    bucket.add(tokens, nowNanos);
  }

  /** Takes out tokens for another seed that are not allowed to any instance. */
  double take(double wanted, long nowNanos) {
    bucket.refill(nowNanos);
    double taken = Math.max(0, Math.min(wanted, bucket.tokens() - outstanding()));
    bucket.take(taken, nowNanos);
    if (taken > 0) {
      passedOnNanos = nowNanos;
    }
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
