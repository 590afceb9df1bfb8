package org.magnoliaswitch.front.load;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.magnoliaswitch.front.load.Placement.Ranked;

/**
 * Decides whether a ranking is reliable enough to place a request, or which servers to probe first.
 * Stateless and free of I/O.
 *
 * <p>Load pattern: other processes make a quarter of the servers several times slower, a different
 * quarter every few hundred milliseconds, so samples from earlier answers are mostly too old to
 * show which servers are slow now. When the probed servers turn out to be slow or full, nothing new
 * is known about those ranked next, so these are probed too.
 *
 * <p>Load pattern: servers with few slots, many instances, so that each may probe a server about
 * once a second, and demand that fills the servers nearby. The servers that rank best have just
 * been probed, and their budget is used up. A search that insists on them learns nothing and sends
 * the request to a server that was never probed, or makes it wait although others have capacity. A
 * timely request therefore probes the best servers that can be probed now. A late request does not
 * search further, because it would take capacity from timely ones.
 *
 * <p>When all probed servers are full, a server that was not probed only appears to have capacity:
 * under high load it is as full as the others, and a request sent there queues or is rejected. The
 * request is then placed nowhere, and the next search probes further servers.
 */
public final class ServerSelection {
  /**
   * Number of servers probed in each round. A round takes a few milliseconds, or twelve if a server
   * does not answer. The first server is usually good enough, so the first round probes only that.
   */
  private static final List<Integer> ROUNDS = List.of(1, 2, 3);

  /**
   * The same for servers with few slots. Most of them are idle or full, so the second round also
   * probes only one; more at once are health checks whose answers are not needed.
   */
  private static final List<Integer> FEW_SLOTS_ROUNDS = List.of(1, 1, 2);

  /** Slots up to which one request more or less decides whether a server has capacity. */
  private static final int FEW_SLOTS = 2;

  /**
   * Number of servers probed when there is a single round: one of three is nearly always
   * undisturbed.
   */
  private static final List<Integer> SINGLE_ROUND = List.of(3);

  /** Maximum age of a load sample that needs no confirmation by a probe. */
  private static final long MAX_FRESH_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Maximum slowness in a sample of a server that counts as undisturbed. */
  private static final double UNDISTURBED_SLOWNESS = 1.3;

  private ServerSelection() {}

  /** The next step in placing a request. */
  public sealed interface Step {
    /** Send the request to a server. */
    record Send(ServerState server) implements Step {}

    /** Probe some servers for their load and decide again; the list is never empty. */
    record Probe(List<ServerState> servers) implements Step {
      public Probe {
        servers = List.copyOf(servers);
      }
    }

    /** There are eligible servers, but none with capacity is expected to answer in time. */
    record AllBusy() implements Step {}

    /** There is no eligible server. */
    record NoServer() implements Step {}
  }

  /** Whether servers have so few slots that a sample shows either an idle or a full server. */
  public static boolean fewSlots(int slots) {
    return slots <= FEW_SLOTS;
  }

  private static boolean fewSlots(List<Ranked> ranked) {
    return !ranked.isEmpty() && fewSlots(ranked.getFirst().server().sample().slots());
  }

  private static List<Integer> rounds(PlacementContext context, List<Ranked> ranked) {
    if (!context.enabled(Mechanism.ASKING)) {
      return List.of();
    }
    if (!context.enabled(Mechanism.FURTHER_ROUNDS)) {
      return SINGLE_ROUND;
    }
    return fewSlots(ranked) ? FEW_SLOTS_ROUNDS : ROUNDS;
  }

  /**
   * Returns the next step of a search.
   *
   * @param ranked eligible servers, best first
   * @param round number of probe rounds already made in this search
   * @param probes which servers can be probed for their load now; empty if none ever can
   */
  public static Step next(
      List<Ranked> ranked,
      PlacementContext context,
      int round,
      Optional<Predicate<ServerState>> probes) {
    long nowNanos = context.nowNanos();
    Step step = decide(ranked, context);
    boolean confirmed =
        step instanceof Step.Send send && freshAndUndisturbed(send.server(), nowNanos);
    List<Integer> rounds = rounds(context, ranked);
    boolean mayProbe = probes.isPresent() && context.load().reportsLoad();
    if (ranked.isEmpty() || !mayProbe || confirmed) {
      return step;
    }
    if (round >= rounds.size()) {
      boolean probed = !rounds.isEmpty() && context.enabled(Mechanism.KNOWN_ROOM);
      return probed ? decideAmongKnown(ranked, context, step) : step;
    }
    boolean skipsOthers =
        context.enabled(Mechanism.PROBEABLE_ONLY)
            && fewSlots(ranked)
            && context.timeliness() == Timeliness.IN_TIME;
    List<ServerState> toProbe =
        ranked.stream()
            .map(Ranked::server)
            .filter(server -> !wellKnown(server, nowNanos))
            .filter(server -> !skipsOthers || probes.get().test(server))
            .limit(rounds.get(round))
            .toList();
    return toProbe.isEmpty() ? step : new Step.Probe(toProbe);
  }

  /**
   * Decides among the servers with reliable load information; returns the fallback if there are
   * none.
   */
  private static Step decideAmongKnown(
      List<Ranked> ranked, PlacementContext context, Step fallback) {
    List<Ranked> wellKnown =
        ranked.stream()
            .filter(candidate -> wellKnown(candidate.server(), context.nowNanos()))
            .toList();
    return wellKnown.isEmpty() ? fallback : decide(wellKnown, context);
  }

  /** Decides without further probes, whether or not all probed servers have answered. */
  private static Step decide(List<Ranked> ranked, PlacementContext context) {
    if (ranked.isEmpty()) {
      return new Step.NoServer();
    }
    List<ServerState> inTime =
        ranked.stream().filter(Ranked::expectedInTime).map(Ranked::server).toList();
    return first(inTime, server -> AdmissionLimit.hasCapacity(server, context))
        .or(() -> first(inTime, server -> AdmissionLimit.mayExceedKnee(server, context)))
        .<Step>map(Step.Send::new)
        .orElseGet(Step.AllBusy::new);
  }

  private static Optional<ServerState> first(
      List<ServerState> servers, Predicate<ServerState> condition) {
    return servers.stream().filter(condition).findFirst();
  }

  /**
   * Whether a probe would add no information. A server with a rate limit has capacity as long as
   * its limit allows requests.
   */
  private static boolean wellKnown(ServerState server, long nowNanos) {
    return fresh(server, nowNanos) || server.backpressure().requestsPerSecond().isPresent();
  }

  private static boolean freshAndUndisturbed(ServerState server, long nowNanos) {
    return fresh(server, nowNanos) && server.sample().slowness() <= UNDISTURBED_SLOWNESS;
  }

  private static boolean fresh(ServerState server, long nowNanos) {
    return server.hasSample() && server.sampleAgeNanos(nowNanos) < MAX_FRESH_AGE_NANOS;
  }
}
