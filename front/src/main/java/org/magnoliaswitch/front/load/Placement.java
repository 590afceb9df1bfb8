package org.magnoliaswitch.front.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Ranks the backend servers that a request could go to; pure.
 *
 * <p>A server's cost is the share of the request's value that is expected to be lost there: by
 * failure, by an answer after the objective, and by bytes between data centres. Load that shifts in
 * milliseconds makes most reports stale, so a sample counts by its age and fades towards what is
 * usual; the requests this instance sent since are added. A little noise keeps instances with the
 * same news from choosing the same server.
 */
public final class Placement {
  /** Neighbours change a server's speed several times a second: a sample says little after this. */
  private static final double SAMPLE_FADE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Slow-down above {@link AdmissionLimit#KNEE} of the slots, where requests begin to share cores.
   */
  static final double KNEE_FACTOR = 1.7;

  /** Slow-down while a server warms up, until its caches are filled and its code is compiled. */
  private static final double COLD_FACTOR = 2.0;

  /** Steepness of the chance to miss the objective around a predicted latency equal to it. */
  private static final double LATE_STEEPNESS = 6.0;

  /** What an answer after the objective loses; its rest is what late answers still earn. */
  private static final double LATE_LOSS = 0.9;

  /** Orders servers that would all be in time. */
  private static final double LATENCY_LOSS = 0.1;

  /** Cost of bytes between data centres, relative to the value of a request. */
  private static final double REMOTE_LOSS = 0.03;

  /**
   * Cost of opening a connection, relative to the value of a request. It takes a slot of the server
   * for a moment, and it must outweigh what a single slow answer costs its server in the ranking:
   * otherwise an instance that sees few requests goes from one server to the next.
   */
  private static final double CONNECT_LOSS = 0.1;

  /** Spread that orders servers of nearly equal cost at random; below the cost of bytes abroad. */
  private static final double NOISE = 0.02;

  /** A server whose slots and as many queue places are taken would reject or reset the request. */
  private static final double FULL_LOSS = 0.8;

  /** Requests held, as a multiple of the slots, at which a server counts as full. */
  private static final double QUEUE_FACTOR = 2.0;

  private Placement() {}

  /**
   * A server with the cost of sending a request there.
   *
   * @param expectedInTime whether the answer can be expected in the time that it is allowed
   */
  public record Ranked(ServerState server, double cost, boolean expectedInTime) {}

  /** The servers by rising cost. */
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
   * Whether an answer can be expected in the time that it is allowed, as far as the slowness of the
   * moment decides it.
   *
   * <p>Load pattern: a neighbour slows a server down, and a request that starts at that moment is
   * slow to its end. Five times slower it is late for certain and keeps a slot that would serve
   * five others, while the neighbour is gone after a moment.
   *
   * <p>What lasts does not count: a service whose only server was slow lately, or whose usual
   * latency was learnt on a bad day, would get no request, and so never show that it is well again.
   */
  public static boolean expectedInTime(ServerState server, PlacementContext context) {
    double usual = context.expectedNanos();
    if (!context.enabled(Mechanism.START_IN_TIME) || usual > context.allowedNanos()) {
      return true;
    }
    double slowness = slowness(server, context.load(), context.nowNanos());
    return usual * slowness <= context.allowedNanos();
  }

  /** Share of the request's value that is expected to be lost at a server. */
  public static double cost(ServerState server, PlacementContext context) {
    double latency = predictedNanos(server, context);
    double ratio = latency / Math.max(1, context.allowedNanos());
    double late = 1 / (1 + Math.exp(-LATE_STEEPNESS * (ratio - 1)));
    double failure =
        context.enabled(Mechanism.FAILURE_MEMORY) ? server.failureShare(context.nowNanos()) : 0;
    double inTime = LATE_LOSS * late + LATENCY_LOSS * Math.min(2, ratio);
    boolean near = server.entry().dataCentre().equals(context.dataCentre());
    double remote = near || !context.enabled(Mechanism.NEAR_FIRST) ? 0 : REMOTE_LOSS;
    double connect = server.idleConnections() > 0 ? 0 : CONNECT_LOSS;
    return failure + (1 - failure) * inTime + fullness(server, context) + remote + connect;
  }

  /** Latency to expect at a server. */
  public static double predictedNanos(ServerState server, PlacementContext context) {
    double slowness = slowness(server, context.load(), context.nowNanos());
    double slots = server.sample().slots();
    double held =
        expectedOutstanding(server, context.load().meanOutstanding(), context.nowNanos()) + 1;
    double knee = held > AdmissionLimit.KNEE * slots ? KNEE_FACTOR : 1;
    double waves = Math.max(0, held - slots) / slots;
    boolean starting = server.cold(context.nowNanos()) && context.enabled(Mechanism.WARMTH);
    double cold = starting ? COLD_FACTOR : 1;
    double own =
        context.enabled(Mechanism.LATENCY_MEMORY) ? server.latencyRatio(context.nowNanos()) : 1;
    return context.expectedNanos() * slowness * cold * own * (knee + waves);
  }

  /** Requests that a server is expected to hold. */
  public static double expectedOutstanding(ServerState server, double meanHeld, long nowNanos) {
    double known = server.sample().outstanding() - meanHeld;
    double reported = meanHeld + known * fade(server, nowNanos);
    return Math.max(server.inFlight(), reported + server.ownSinceSample());
  }

  private static double fullness(ServerState server, PlacementContext context) {
    double room = QUEUE_FACTOR * server.sample().slots();
    return expectedOutstanding(server, context.load().meanOutstanding(), context.nowNanos()) >= room
        ? FULL_LOSS
        : 0;
  }

  /** How much longer work that starts now takes at a server, as far as its last sample tells. */
  public static double slowness(ServerState server, ServiceLoad load, long nowNanos) {
    double usual = load.meanSlowness();
    if (!server.hasSample()) {
      return usual;
    }
    return usual + (server.sample().slowness() - usual) * fade(server, nowNanos);
  }

  private static double fade(ServerState server, long nowNanos) {
    return Math.exp(-server.sampleAgeNanos(nowNanos) / SAMPLE_FADE_NANOS);
  }
}
