package org.magnoliaswitch.front.load;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.magnoliaswitch.front.load.Placement.Ranked;

/**
 * Decides whether a ranking is good enough to place a request, or whom to ask first; pure.
 *
 * <p>Load pattern: neighbours make a quarter of the servers several times slower, anew every few
 * hundred milliseconds, so news from other answers are mostly too old to tell who is slow now. When
 * the asked ones turn out to be slow or full, those ranked next are known no better than they were,
 * so these are asked too.
 *
 * <p>When all that were asked are full, one that was not asked only seems to have room: while many
 * callers press it is as full as they are, and a request sent there waits behind others or is
 * rejected. So it goes to none, and the next search asks further ones.
 */
public final class ServerSelection {
  /**
   * Candidates asked in each round; a round takes a few milliseconds, twelve where one is silent.
   * Mostly the first one will do, so one is asked first.
   */
  private static final List<Integer> ROUNDS = List.of(1, 2, 3);

  /** The same with a single round: of three, one is undisturbed nearly always. */
  private static final List<Integer> SINGLE_ROUND = List.of(3);

  /** A load sample this young needs no confirmation. */
  private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** A sample that shows no more than this counts as undisturbed. */
  private static final double UNDISTURBED = 1.3;

  private ServerSelection() {}

  /** What to do next with a request. */
  public sealed interface Step {
    /** Send it to a server. */
    record Send(ServerState server) implements Step {}

    /** Ask some servers for their load and decide again; never empty. */
    record Probe(List<ServerState> servers) implements Step {
      public Probe {
        servers = List.copyOf(servers);
      }
    }

    /** There are servers, and all of them are busy. */
    record AllBusy() implements Step {}

    /** No server may get it. */
    record NoServer() implements Step {}
  }

  private static List<Integer> rounds(PlacementContext context) {
    if (!context.enabled(Mechanism.ASKING)) {
      return List.of();
    }
    return context.enabled(Mechanism.FURTHER_ROUNDS) ? ROUNDS : SINGLE_ROUND;
  }

  /**
   * The next step of a search.
   *
   * @param ranked servers that may get the request, best first
   * @param round how often servers were asked in this search
   * @param askable whether the servers can be asked for their load
   */
  public static Step next(
      List<Ranked> ranked, PlacementContext context, int round, boolean askable) {
    long nowNanos = context.nowNanos();
    Step step = decided(ranked, context);
    boolean sure = step instanceof Step.Send send && confirmed(send.server(), nowNanos);
    List<Integer> rounds = rounds(context);
    boolean reported = askable && context.load().reporting();
    if (ranked.isEmpty() || !reported || sure) {
      return step;
    }
    if (round >= rounds.size()) {
      boolean asked = !rounds.isEmpty() && context.enabled(Mechanism.KNOWN_ROOM);
      return asked ? amongKnown(ranked, context, step) : step;
    }
    List<ServerState> unsure =
        ranked.stream()
            .map(Ranked::server)
            .filter(server -> !known(server, nowNanos))
            .limit(rounds.get(round))
            .toList();
    return unsure.isEmpty() ? step : new Step.Probe(unsure);
  }

  /** The decision among the servers that are known well; the other one if there are none. */
  private static Step amongKnown(List<Ranked> ranked, PlacementContext context, Step otherwise) {
    List<Ranked> known =
        ranked.stream().filter(one -> known(one.server(), context.nowNanos())).toList();
    return known.isEmpty() ? otherwise : decided(known, context);
  }

  /** After the last round, whether the asked servers have answered or were waited for in vain. */
  private static Step decided(List<Ranked> ranked, PlacementContext context) {
    if (ranked.isEmpty()) {
      return new Step.NoServer();
    }
    List<ServerState> fitting =
        ranked.stream().filter(Ranked::expectedInTime).map(Ranked::server).toList();
    return first(fitting, server -> AdmissionLimit.hasCapacity(server, context))
        .or(() -> first(fitting, server -> AdmissionLimit.mayExceedKnee(server, context)))
        .<Step>map(Step.Send::new)
        .orElseGet(Step.AllBusy::new);
  }

  private static Optional<ServerState> first(
      List<ServerState> servers, Predicate<ServerState> wanted) {
    return servers.stream().filter(wanted).findFirst();
  }

  /**
   * Whether asking tells nothing more: a server with a limit has room for what its limit allows.
   */
  private static boolean known(ServerState server, long nowNanos) {
    return fresh(server, nowNanos) || server.backpressure().requestsPerSecond().isPresent();
  }

  private static boolean confirmed(ServerState server, long nowNanos) {
    return fresh(server, nowNanos) && server.sample().slowness() <= UNDISTURBED;
  }

  private static boolean fresh(ServerState server, long nowNanos) {
    return server.hasSample() && server.sampleAgeNanos(nowNanos) < FRESH_NANOS;
  }
}
