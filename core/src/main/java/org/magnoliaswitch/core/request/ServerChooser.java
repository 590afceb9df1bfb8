package org.magnoliaswitch.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.process.ServerHandle;
import org.magnoliaswitch.core.process.ServerLoad;
import org.magnoliaswitch.core.version.RoutingPolicy;

/**
 * Chooses one of the eligible backend servers; the only side effect is on the round-robin counter.
 *
 * <p>The fresh-load policy compares a few random servers, which prevents instances with the same
 * outdated reports from sending to the same server (Mitzenmacher, "How useful is old information?",
 * 2000). The server with the lowest score is chosen. The score is {@code (latency * (1 + waves) /
 * success + remote) * ramp}: the average latency, multiplied by one plus the number of waves of
 * requests ahead and divided by the share of successful requests; plus a penalty for a server in
 * another data centre; multiplied by a factor above one while the server is new to this instance.
 * The number of requests ahead is the last reported one, weighted by its age against the average of
 * the sampled servers, plus the requests that this instance has sent since (after Wydrowski et al.,
 * "Load is not what you should balance", 2024).
 */
public final class ServerChooser {
  /** Latency assumed while no sampled server has latency samples. */
  private static final double UNKNOWN_LATENCY_MILLIS = 1.0;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Weight of requests that still find a free slot; ranks servers that all have free slots. */
  private static final double FREE_SLOT_WEIGHT = 0.25;

  /** Time over which the load of a server that is new to this instance increases gradually. */
  private static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final double RAMP_PENALTY = 3.0;
  private static final double MIN_SUCCESS = 0.05;

  /** Sum of the report weights below which all reports are too old to be used. */
  private static final double MIN_WEIGHT = 1e-6;

  private ServerChooser() {}

  /**
   * Chooses one of the eligible servers.
   *
   * @param eligible servers that may receive new requests
   * @param localDataCentre data centre of this instance
   * @param roundRobinCounter counter of the round-robin policy, which is incremented by it
   * @return the server, or empty if none is eligible
   */
  public static Optional<ServerHandle> choose(
      RoutingPolicy policy,
      List<ServerHandle> eligible,
      String localDataCentre,
      AtomicInteger roundRobinCounter,
      long nowNanos,
      RandomGenerator random) {
    if (eligible.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        switch (policy) {
          case RoutingPolicy.RoundRobin roundRobin ->
              eligible.get(Math.floorMod(roundRobinCounter.getAndIncrement(), eligible.size()));
          case RoutingPolicy.LeastRequests leastRequests -> fewerRequestsOfTwo(eligible, random);
          case RoutingPolicy.FreshLoad fresh ->
              lowestScore(
                  fresh, sample(eligible, fresh.candidates(), random), localDataCentre, nowNanos);
        });
  }

  private static ServerHandle fewerRequestsOfTwo(
      List<ServerHandle> eligible, RandomGenerator random) {
    ServerHandle first = eligible.get(random.nextInt(eligible.size()));
    ServerHandle second = eligible.get(random.nextInt(eligible.size()));
    return first.load().inFlight() <= second.load().inFlight() ? first : second;
  }

  private static List<ServerHandle> sample(
      List<ServerHandle> eligible, int size, RandomGenerator random) {
    if (eligible.size() <= size) {
      return eligible;
    }
    List<ServerHandle> pool = new ArrayList<>(eligible);
    for (int i = 0; i < size; i++) {
      int j = i + random.nextInt(pool.size() - i);
      ServerHandle picked = pool.get(j);
      pool.set(j, pool.get(i));
      pool.set(i, picked);
    }
    return pool.subList(0, size);
  }

  private static ServerHandle lowestScore(
      RoutingPolicy.FreshLoad policy, List<ServerHandle> sampled, String local, long nowNanos) {
    double meanRequests = 0;
    double weights = 0;
    double meanLatency = 0;
    int measured = 0;
    for (ServerHandle handle : sampled) {
      double weight = reportWeight(policy, handle.load(), nowNanos);
      meanRequests += weight * handle.load().lastReport().report().requests();
      weights += weight;
      if (handle.load().averages().samples() > 0) {
        meanLatency += handle.load().averages().latencyMillis();
        measured++;
      }
    }
    meanRequests = weights < MIN_WEIGHT ? 0 : meanRequests / weights;
    meanLatency = measured == 0 ? UNKNOWN_LATENCY_MILLIS : meanLatency / measured;
    ServerHandle best = sampled.getFirst();
    double bestScore = Double.MAX_VALUE;
    for (ServerHandle handle : sampled) {
      double score = score(policy, handle, local, meanRequests, meanLatency, nowNanos);
      if (score < bestScore) {
        bestScore = score;
        best = handle;
      }
    }
    return best;
  }

  private static double score(
      RoutingPolicy.FreshLoad policy,
      ServerHandle handle,
      String local,
      double meanRequests,
      double meanLatency,
      long nowNanos) {
    ServerLoad load = handle.load();
    ServerLoad.Averages averages = load.averages();
    double requests = expectedRequests(policy, load, meanRequests, nowNanos);
    double slots = handle.server().slots();
    double waves =
        Math.max(0, (requests + 1 - slots) / slots) + FREE_SLOT_WEIGHT * requests / slots;
    double latency = averages.samples() == 0 ? meanLatency : averages.latencyMillis();
    double success = Math.max(MIN_SUCCESS, 1 - averages.failureShare());
    double remote = handle.server().dataCentre().equals(local) ? 0 : policy.remotePenaltyMillis();
    return (latency * (1 + waves) / success + remote) * rampFactor(load, nowNanos);
  }

  /** Number of requests that the server is expected to hold now. */
  static double expectedRequests(
      RoutingPolicy.FreshLoad policy, ServerLoad load, double meanRequests, long nowNanos) {
    ServerLoad.TimedReport last = load.lastReport();
    double weight = reportWeight(policy, load, nowNanos);
    double reported = meanRequests + (last.report().requests() - meanRequests) * weight;
    int sentSince = load.inFlight() - last.ownInFlight();
    return Math.max(load.inFlight(), reported + sentSince);
  }

  /** Weight of the server's last report by its age, from 0 to 1. */
  private static double reportWeight(
      RoutingPolicy.FreshLoad policy, ServerLoad load, long nowNanos) {
    double ageMillis = (nowNanos - load.lastReport().atNanos()) / NANOS_PER_MILLI;
    return Math.pow(0.5, ageMillis / policy.reportHalfLifeMillis());
  }

  private static double rampFactor(ServerLoad load, long nowNanos) {
    double age = (double) (nowNanos - load.createdNanos()) / RAMP_NANOS;
    return age >= 1 ? 1 : 1 + RAMP_PENALTY * (1 - age);
  }
}
