package org.magnoliaswitch.bench.model;

import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.ServerSubset;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.load.WaitLimit;

/**
 * The parts of the front's decisions that a replay can take out or replace.
 *
 * @param mechanisms which of them are in force
 * @param waiting how long a request waits for room
 * @param subset how many servers of a service an instance sends to
 */
record Rules(Mechanisms mechanisms, Wait waiting, Subset subset) {
  private static final int SIXTEEN = 16;

  /** Longest wait since a request was read. */
  @FunctionalInterface
  interface Wait {
    double nanos(Timeliness timeliness, double usualNanos, long objectiveNanos, long patienceNanos);
  }

  /** How many servers of a service an instance sends to. */
  @FunctionalInterface
  interface Subset {
    int size(int servers, int instances);
  }

  /** As the front decides now. */
  static final Rules CURRENT = new Rules(Mechanisms.ALL, WaitLimit::nanos, ServerSubset::size);

  /** With sixteen servers of each large service, however many instances there are. */
  static final Rules SIXTEEN_SERVERS =
      new Rules(
          Mechanisms.ALL,
          WaitLimit::nanos,
          (servers, instances) -> servers <= 2 * SIXTEEN ? servers : SIXTEEN);

  /** With an eighth of the objective as the wait of requests in time. */
  static final Rules SHORT_WAIT = new Rules(Mechanisms.ALL, Rules::eighth, ServerSubset::size);

  /** By what is known, without a bound on what a server gets. */
  static final Rules UNBOUNDED =
      new Rules(
          Mechanisms.ALL
              .without(Mechanism.ASKING)
              .without(Mechanism.KNEE_BOUND)
              .without(Mechanism.START_IN_TIME)
              .without(Mechanism.HEDGING),
          WaitLimit::nanos,
          ServerSubset::size);

  /** These rules with one mechanism switched off. */
  Rules without(Mechanism mechanism) {
    return new Rules(mechanisms.without(mechanism), waiting, subset);
  }

  private static double eighth(
      Timeliness timeliness, double usualNanos, long objectiveNanos, long patienceNanos) {
    double usual = 0.125 * objectiveNanos;
    return timeliness == Timeliness.IN_TIME ? usual : Math.max(usual, 0.15 * patienceNanos);
  }
}
