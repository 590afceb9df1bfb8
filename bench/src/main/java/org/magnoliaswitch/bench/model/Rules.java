package org.magnoliaswitch.bench.model;

import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.ServerSubset;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.load.WaitLimit;

/**
 * The parts of the decisions of the front that a replay can disable or replace.
 *
 * @param mechanisms enabled mechanisms
 * @param maxWait longest time that a request waits for capacity
 * @param subset number of servers of a service that an instance uses
 */
record Rules(Mechanisms mechanisms, MaxWait maxWait, Subset subset) {
  private static final int SUBSET_SIZE = 16;

  /** Computes the longest wait of a request since it was received. */
  @FunctionalInterface
  interface MaxWait {
    double nanos(Timeliness timeliness, double usualNanos, long objectiveNanos, long timeoutNanos);
  }

  /** Computes the number of servers of a service that an instance uses. */
  @FunctionalInterface
  interface Subset {
    int size(int servers, int instances);
  }

  /** The rules of the front. */
  static final Rules CURRENT = new Rules(Mechanisms.ALL, WaitLimit::nanos, ServerSubset::size);

  /** Uses sixteen servers of each large service, regardless of the number of instances. */
  static final Rules SIXTEEN_SERVERS =
      new Rules(
          Mechanisms.ALL,
          WaitLimit::nanos,
          (servers, instances) -> servers <= 2 * SUBSET_SIZE ? servers : SUBSET_SIZE);

  /**
   * Lets requests that can still be answered in time wait for at most an eighth of the objective.
   */
  static final Rules SHORT_WAIT =
      new Rules(Mechanisms.ALL, Rules::eighthOfObjective, ServerSubset::size);

  /** Uses the known load without probing, hedging or a limit on the requests of a server. */
  static final Rules UNBOUNDED =
      new Rules(
          Mechanisms.ALL
              .without(Mechanism.ASKING)
              .without(Mechanism.KNEE_BOUND)
              .without(Mechanism.START_IN_TIME)
              .without(Mechanism.HEDGING),
          WaitLimit::nanos,
          ServerSubset::size);

  /** Returns these rules with one mechanism disabled. */
  Rules without(Mechanism mechanism) {
    return new Rules(mechanisms.without(mechanism), maxWait, subset);
  }

  private static double eighthOfObjective(
      Timeliness timeliness, double usualNanos, long objectiveNanos, long timeoutNanos) {
    double limit = 0.125 * objectiveNanos;
    return timeliness == Timeliness.IN_TIME ? limit : Math.max(limit, 0.15 * timeoutNanos);
  }
}
