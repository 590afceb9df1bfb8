package org.magnoliaswitch.front.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.magnoliaswitch.front.load.QuotaMessages.Result;
import org.magnoliaswitch.front.version.Quota;
import org.magnoliaswitch.front.version.Team;

/** The callers of one team in a simulation, and what became of their requests. */
final class QuotaCallers {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Interval at which a change of the demand is noticed. */
  private static final double MAX_GAP_SECONDS = 0.1;

  /** Time after a change of the configuration from which a window counts by the new quota. */
  private static final long LOWERED_AFTER = QuotaSimulation.millis(2_500);

  final Team team;
  private final QuotaSimulation simulation;
  private final DoubleUnaryOperator demandAt;
  private final Random random;
  private final double[] cumulatedWeights;
  private final Deque<Long> inWindow = new ArrayDeque<>();
  private final List<Long> admitted = new ArrayList<>();
  private final List<Refusal> refused = new ArrayList<>();
  private Quota changedQuota;
  private long changedFrom = Long.MAX_VALUE;
  private double maxExcess = Double.NEGATIVE_INFINITY;

  private record Refusal(long at, Result cause) {}

  /**
   * Creates callers that are spread over the instances unevenly.
   *
   * @param demandAt demand in multiples of the team's rate, by the time in seconds
   */
  QuotaCallers(QuotaSimulation simulation, Team team, DoubleUnaryOperator demandAt, long seed) {
    this.simulation = simulation;
    this.team = team;
    this.demandAt = demandAt;
    this.changedQuota = team.quota();
    this.random = new Random(seed);
    this.cumulatedWeights = new double[simulation.nodes.size()];
    double sum = 0;
    for (int i = 0; i < cumulatedWeights.length; i++) {
      sum += Math.pow(1 - random.nextDouble(), -0.5);
      cumulatedWeights[i] = sum;
    }
  }

  void start() {
    double demand = demandAt.applyAsDouble(simulation.now() / NANOS_PER_SECOND);
    double perSecond = Math.max(1e-9, demand * team.quota().requestsPerSecond());
    double gap = -Math.log(1 - random.nextDouble()) / perSecond;
    simulation.after(
        (long) (Math.min(gap, MAX_GAP_SECONDS) * NANOS_PER_SECOND),
        () -> {
          if (gap <= MAX_GAP_SECONDS) {
            send();
          }
          start();
        });
  }

  private void send() {
    double drawn = random.nextDouble() * cumulatedWeights[cumulatedWeights.length - 1];
    int instance = 0;
    while (cumulatedWeights[instance] < drawn) {
      instance++;
    }
    QuotaSimulation.Node node = simulation.nodes.get(instance);
    node.run(() -> record(node.request(team.name())));
  }

  private void record(Result result) {
    long now = simulation.now();
    if (result != Result.ADMITTED) {
      refused.add(new Refusal(now, result));
      return;
    }
    admitted.add(now);
    boolean changed = now >= changedFrom;
    long windowStart = now - QuotaSimulation.BOUNDS.windowNanos();
    inWindow.addLast(now);
    while (inWindow.getFirst() < (changed ? Math.max(changedFrom, windowStart) : windowStart)) {
      inWindow.removeFirst();
    }
    double allowed = QuotaSimulation.BOUNDS.allowed(changed ? changedQuota : team.quota());
    maxExcess = Math.max(maxExcess, inWindow.size() - allowed);
  }

  /** Counts requests by another quota from the time at which it must be in force. */
  void changeQuota(Quota next) {
    changedQuota = next;
    changedFrom = simulation.now() + LOWERED_AFTER;
  }

  /** Requests beyond what the rule allows in the worst window; negative if there are none. */
  double maxExcess() {
    return maxExcess;
  }

  /** Share of the requests of a span that was refused. */
  double refusedShare(long from, long to) {
    double refusals = refusals(from, to).count();
    return refusals / Math.max(1, refusals + count(admitted, from, to));
  }

  /** Refused requests of a span by cause. */
  Map<Result, Long> refusalsByCause(long from, long to) {
    return refusals(from, to)
        .collect(Collectors.groupingBy(Refusal::cause, TreeMap::new, Collectors.counting()));
  }

  private Stream<Refusal> refusals(long from, long to) {
    return refused.stream().filter(refusal -> refusal.at() >= from && refusal.at() < to);
  }

  /** Admitted requests in a span, as a share of what the rate allows. */
  double usedShare(long from, long to) {
    double seconds = (to - from) / NANOS_PER_SECOND;
    return count(admitted, from, to) / (seconds * team.quota().requestsPerSecond());
  }

  private static long count(List<Long> times, long from, long to) {
    return times.stream().filter(at -> at >= from && at < to).count();
  }
}
