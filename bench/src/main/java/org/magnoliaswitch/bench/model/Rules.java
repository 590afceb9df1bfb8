package org.magnoliaswitch.bench.model;

import java.util.List;
import org.magnoliaswitch.front.load.Chance;
import org.magnoliaswitch.front.load.Selection;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.ServerSubset;
import org.magnoliaswitch.front.load.WaitLimit;

/**
 * The parts of the front's decisions that a replay can take out or replace.
 *
 * @param rounds how often servers are asked for their load before a request is placed
 * @param bounded whether a server gets no more than it can run well
 * @param hedged whether reads are sent to a second server when the first is late
 * @param waiting how long a request waits for room
 * @param subset which servers an instance sends to
 * @param yielding whether late requests yield while others wait
 * @param fitting whether a request starts only where it can be in time
 * @param exactReports whether an answer's report is taken without the request it counts
 */
record Rules(
    int rounds,
    boolean bounded,
    boolean hedged,
    Wait waiting,
    Subset subset,
    boolean yielding,
    boolean fitting,
    boolean exactReports) {
  /** Longest wait since a request was read. */
  @FunctionalInterface
  interface Wait {
    double nanos(Chance chance, double usualNanos, long objectiveNanos, long patienceNanos);
  }

  /** The servers of a service that an instance sends to. */
  @FunctionalInterface
  interface Subset {
    List<ServerState> of(List<ServerState> servers, int instance);
  }

  /** As the front decides now. */
  static final Rules CURRENT =
      new Rules(Selection.ROUNDS, true, true, WaitLimit::nanos, Rules::subset, true, true, true);

  /** As it decided before requests waited for a server where they can be in time. */
  static final Rules UNFITTED =
      new Rules(Selection.ROUNDS, true, true, WaitLimit::nanos, Rules::subset, true, false, true);

  /** As it decided before the request that a report counts was taken out. */
  static final Rules INEXACT =
      new Rules(Selection.ROUNDS, true, true, WaitLimit::nanos, Rules::subset, true, false, false);

  /** As it decided before late requests yielded to those in time that have to wait. */
  static final Rules UNYIELDING =
      new Rules(Selection.ROUNDS, true, true, WaitLimit::nanos, Rules::subset, false, false, false);

  /** As it decided before a second round of questions. */
  static final Rules ONE_ROUND =
      new Rules(1, true, true, WaitLimit::nanos, Rules::subset, false, false, false);

  /** As it decided before instances kept to a part of a large service's servers. */
  static final Rules ALL_SERVERS =
      new Rules(
          1, true, true, WaitLimit::nanos, (servers, instance) -> servers, false, false, false);

  /** As it decided first: by what is known, with the first wait. */
  static final Rules FIRST =
      new Rules(
          0, false, false, Rules::firstWait, (servers, instance) -> servers, false, false, false);

  /** As it decided before requests in time waited for as long as they can still be in time. */
  static final Rules SHORT_WAIT =
      new Rules(
          1, true, true, Rules::firstWait, (servers, instance) -> servers, false, false, false);

  private static double firstWait(
      Chance chance, double usualNanos, long objectiveNanos, long patienceNanos) {
    double usual = 0.125 * objectiveNanos;
    return chance == Chance.IN_TIME ? usual : Math.max(usual, 0.15 * patienceNanos);
  }

  private static List<ServerState> subset(List<ServerState> servers, int instance) {
    return ServerSubset.of(
        servers, ServerState::entry, "instance-" + instance, World.dataCentre(instance));
  }
}
