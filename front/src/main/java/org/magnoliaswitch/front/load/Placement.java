package org.magnoliaswitch.front.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Ranks the backend servers that are eligible for a request. Stateless and free of I/O.
 *
 * <p>The cost of a server is the share of the request's value that is expected to be lost there: by
 * failures, by answers after the objective, by a full server, by opening a connection, and by
 * traffic between data centres. Load that shifts within milliseconds makes most samples stale, so
 * the weight of a sample decays with its age towards the service's average; requests that this
 * instance has started since are added. A little noise keeps instances with the same information
 * from choosing the same server.
 */
public final class Placement {
  /**
   * Decay constant of samples: other processes on a machine change its speed several times a
   * second.
   */
  private static final double SAMPLE_DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Slowdown above {@link AdmissionLimit#KNEE} of the slots, where requests begin to share cores.
   */
  static final double KNEE_FACTOR = 1.7;

  /** Slowdown while a server warms up, until its caches are filled and its code is compiled. */
  private static final double COLD_FACTOR = 2.0;

  /**
   * Steepness of the probability that an answer is late, where the predicted latency equals the
   * allowed time.
   */
  private static final double LATE_STEEPNESS = 6.0;

  /** Share of the value that an answer after the objective loses; late answers keep the rest. */
  private static final double LATE_LOSS = 0.9;

  /** Weight of the latency itself, which orders servers that are all expected to answer in time. */
  private static final double LATENCY_LOSS = 0.1;

  /** Cost of traffic between data centres, relative to the value of a request. */
  private static final double REMOTE_LOSS = 0.03;

  /**
   * Cost of opening a connection, relative to the value of a request. The handshake takes a slot of
   * the server for a moment. This cost must exceed the cost that a single slow answer adds to its
   * server: otherwise an instance with few requests would open a connection to another server after
   * each slow answer.
   */
  private static final double CONNECT_LOSS = 0.1;

  /**
   * Amplitude of the noise that shuffles servers of nearly equal cost; below {@link #REMOTE_LOSS}.
   */
  private static final double NOISE = 0.02;

  /**
   * Cost of a server whose slots and an equal number of queue places are taken: it would reject or
   * reset the request.
   */
  private static final double FULL_LOSS = 0.8;

  /** Outstanding requests, as a multiple of the slots, at which a server counts as full. */
  private static final double FULL_FACTOR = 2.0;

  private Placement() {}

  /**
   * A server with the cost of placing a request there.
   *
   * @param expectedInTime whether the answer is expected within the allowed time
   */
  public record Ranked(ServerState server, double cost, boolean expectedInTime) {}

  /** Returns the servers in ascending order of cost. */
  public static List<Ranked> rank(
      List<ServerState> eligible, PlacementContext context, RandomGenerator random) {
    List<Ranked> ranked = new ArrayList<>(eligible.size());
    for (ServerState server : eligible) {
      double cost = cost(server, context) + NOISE * random.nextDouble();
      ranked.add(new Ranked(server, cost, expectedInTime(server, context)));
    }
    ranked.sort(Comparator.comparingDouble(Ranked::cost));
    return ranked;
  }

  /**
   * Whether an answer is expected within the allowed time, considering only the current slowness of
   * the server.
   *
   * <p>Load pattern: another process on the machine slows a server down, and a request that starts
   * at that moment stays slow until it ends. At a slowness of five it is late for certain and
   * occupies a slot that could serve five others, while the disturbance is gone after a moment.
   *
   * <p>Lasting effects are ignored: a service whose only server was slow recently, or whose usual
   * latency was learnt during a disturbance, would get no requests, and therefore could never prove
   * that it has recovered.
   */
  public static boolean expectedInTime(ServerState server, PlacementContext context) {
    double usual = context.expectedNanos();
    if (!context.enabled(Mechanism.START_IN_TIME) || usual > context.allowedNanos()) {
      return true;
    }
    double slowness = slowness(server, context.load(), context.nowNanos());
    return usual * slowness <= context.allowedNanos();
  }

  /** Cost of placing the request at a server: the share of its value expected to be lost there. */
  public static double cost(ServerState server, PlacementContext context) {
    double latency = predictedNanos(server, context);
    double ratio = latency / Math.max(1, context.allowedNanos());
    double lateProbability = 1 / (1 + Math.exp(-LATE_STEEPNESS * (ratio - 1)));
    double failureProbability =
        context.enabled(Mechanism.FAILURE_MEMORY) ? server.failureShare(context.nowNanos()) : 0;
    double latencyLoss = LATE_LOSS * lateProbability + LATENCY_LOSS * Math.min(2, ratio);
    boolean sameDataCentre = server.entry().dataCentre().equals(context.dataCentre());
    double remoteLoss = sameDataCentre || !context.enabled(Mechanism.NEAR_FIRST) ? 0 : REMOTE_LOSS;
    double connectLoss = server.idleConnections() > 0 ? 0 : CONNECT_LOSS;
    return failureProbability
        + (1 - failureProbability) * latencyLoss
        + fullnessLoss(server, context)
        + remoteLoss
        + connectLoss;
  }

  /**
   * Predicts the latency at a server from the usual latency, the slowness and warm-up of the
   * server, its recent latencies and the requests outstanding there.
   */
  public static double predictedNanos(ServerState server, PlacementContext context) {
    double slowness = slowness(server, context.load(), context.nowNanos());
    double slots = server.sample().slots();
    double outstanding =
        expectedOutstanding(server, context.load().meanOutstanding(), context.nowNanos()) + 1;
    double kneeFactor = outstanding > AdmissionLimit.KNEE * slots ? KNEE_FACTOR : 1;
    double queuedRounds = Math.max(0, outstanding - slots) / slots;
    boolean warmingUp = server.cold(context.nowNanos()) && context.enabled(Mechanism.WARMTH);
    double coldFactor = warmingUp ? COLD_FACTOR : 1;
    double latencyRatio =
        context.enabled(Mechanism.LATENCY_MEMORY) ? server.latencyRatio(context.nowNanos()) : 1;
    return context.expectedNanos()
        * slowness
        * coldFactor
        * latencyRatio
        * (kneeFactor + queuedRounds);
  }

  /**
   * Estimates the requests outstanding at a server: those of its last sample, whose weight decays
   * towards the service's average, and those that this instance has started since; at least the
   * requests of this instance that are in flight there.
   */
  public static double expectedOutstanding(
      ServerState server, double meanOutstanding, long nowNanos) {
    double deviation = server.sample().outstanding() - meanOutstanding;
    double reported = meanOutstanding + deviation * sampleWeight(server, nowNanos);
    return Math.max(server.inFlight(), reported + server.startedSinceSample());
  }

  private static double fullnessLoss(ServerState server, PlacementContext context) {
    double fullFrom = FULL_FACTOR * server.sample().slots();
    return expectedOutstanding(server, context.load().meanOutstanding(), context.nowNanos())
            >= fullFrom
        ? FULL_LOSS
        : 0;
  }

  /**
   * Factor by which work that starts now takes longer at a server, estimated from its last sample.
   */
  public static double slowness(ServerState server, ServiceLoad load, long nowNanos) {
    double usual = load.meanSlowness();
    if (!server.hasSample()) {
      return usual;
    }
    return usual + (server.sample().slowness() - usual) * sampleWeight(server, nowNanos);
  }

  private static double sampleWeight(ServerState server, long nowNanos) {
    return Math.exp(-server.sampleAgeNanos(nowNanos) / SAMPLE_DECAY_NANOS);
  }
}
