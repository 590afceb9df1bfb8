package org.magnoliaswitch.front.load;

import java.util.Optional;

/**
 * Draws few of all instances as the senders to one backend server; pure.
 *
 * <p>Instances do not ask each other who sends. An instance that has a place among all of them
 * draws an exact number of senders. One without hashes its name, and so few are drawn on average
 * that a draw of more than allowed is most unlikely.
 *
 * @param instance name of this instance
 * @param incarnation names the server and its start
 * @param instances how many instances serve, as far as known
 * @param instanceIndex the instance's place among them, if it has one
 */
public record SenderSelection(
    String instance, String incarnation, int instances, Optional<InstanceIndex> instanceIndex) {
  /**
   * Part of the allowed senders that places draw. While a seed ends, some instances have their
   * places from it and others from the next one: the two draws of a server add up.
   */
  private static final double INDEXED_SHARE = 0.75;

  /** Standard deviations of the number of drawn instances that lie below the bound. */
  private static final double SELECTION_MARGIN = 3;

  /** An instance that knows of no other may just not have heard of it. */
  private static final int MIN_INSTANCES = 2;

  /** Instances that may send to the server at the same time. */
  int candidates() {
    return Math.max(MIN_INSTANCES, instances);
  }

  /**
   * Whether this instance is one of the senders.
   *
   * @param maxSenders how many of all instances may be
   */
  boolean selected(double maxSenders) {
    return instanceIndex
        .map(known -> known.selected(incarnation, indexedSenders(maxSenders)))
        .orElseGet(() -> unitHash() < meanSenders(maxSenders) / candidates());
  }

  private static int indexedSenders(double maxSenders) {
    return (int) Math.max(Math.min(1, maxSenders), INDEXED_SHARE * maxSenders);
  }

  /** Mean number of senders at which the allowed number lies the margin above it. */
  private static double meanSenders(double maxSenders) {
    double root =
        (Math.sqrt(SELECTION_MARGIN * SELECTION_MARGIN + 4 * maxSenders) - SELECTION_MARGIN) / 2;
    return root * root;
  }

  /** A number from 0 to 1 that depends on both names only. */
  private double unitHash() {
    return (NameHash.of(instance, incarnation) >>> 11) * 0x1.0p-53;
  }
}
