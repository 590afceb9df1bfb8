package org.magnoliaswitch.front.load;

import java.util.Optional;

/**
 * Selects a few of all instances as the senders to one backend server. Stateless and free of I/O.
 *
 * <p>Instances do not coordinate. Among instances with an index, an exact number of senders is
 * selected. An instance without an index hashes its name instead, and the mean number of senders is
 * kept so low that selecting more than allowed is very unlikely.
 *
 * @param instance name of this instance
 * @param incarnation identifies the server and its start
 * @param instances known number of serving instances
 * @param instanceIndex index of this instance, if it has one
 */
public record SenderSelection(
    String instance, String incarnation, int instances, Optional<InstanceIndex> instanceIndex) {
  /**
   * Part of the allowed senders that is selected by index. While a seed fails over, some instances
   * have their index from it and others from the next seed, so that the selections of both add up.
   */
  private static final double INDEXED_SHARE = 0.75;

  /** How many standard deviations the mean number of senders is below the maximum. */
  private static final double SELECTION_MARGIN = 3;

  /**
   * Lower bound for the instance count: an instance that knows no other may not have discovered it
   * yet.
   */
  private static final int MIN_INSTANCES = 2;

  /** Number of instances among which the senders are selected. */
  int candidates() {
    return Math.max(MIN_INSTANCES, instances);
  }

  /**
   * Whether this instance is one of the senders.
   *
   * @param maxSenders number of senders allowed over all instances
   */
  boolean selected(double maxSenders) {
    return instanceIndex
        .map(index -> index.selected(incarnation, indexedSenders(maxSenders)))
        .orElseGet(() -> unitHash() < meanSenders(maxSenders) / candidates());
  }

  private static int indexedSenders(double maxSenders) {
    return (int) Math.max(Math.min(1, maxSenders), INDEXED_SHARE * maxSenders);
  }

  /**
   * Mean number of senders for which the allowed number is {@link #SELECTION_MARGIN} standard
   * deviations higher.
   */
  private static double meanSenders(double maxSenders) {
    double root =
        (Math.sqrt(SELECTION_MARGIN * SELECTION_MARGIN + 4 * maxSenders) - SELECTION_MARGIN) / 2;
    return root * root;
  }

  /** Maps both names to a number from 0 to 1. */
  private double unitHash() {
    return (NameHash.of(instance, incarnation) >>> 11) * 0x1.0p-53;
  }
}
