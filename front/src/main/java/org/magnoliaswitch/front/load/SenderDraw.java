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
 * @param place the instance's place among them, if it has one
 */
public record SenderDraw(
    String instance, String incarnation, int instances, Optional<InstancePlace> place) {
  /**
   * Part of the allowed senders that places draw. While a seed ends, some instances have their
   * places from it and others from the next one: the two draws of a server add up.
   */
  private static final double PLACED_SHARE = 0.75;

  /** Standard deviations of the number of drawn instances that lie below the bound. */
  private static final double DRAW_MARGIN = 3;

  /** An instance that knows of no other may just not have heard of it. */
  private static final int LEAST_INSTANCES = 2;

  /** Instances that may send to the server at the same time. */
  int sharers() {
    return Math.max(LEAST_INSTANCES, instances);
  }

  /**
   * Whether this instance is one of the senders.
   *
   * @param most how many of all instances may be
   */
  boolean drawn(double most) {
    return place
        .map(known -> known.drawn(incarnation, placedSenders(most)))
        .orElseGet(() -> draw() < meanSenders(most) / sharers());
  }

  private static int placedSenders(double most) {
    return (int) Math.max(Math.min(1, most), PLACED_SHARE * most);
  }

  /** Mean number of senders at which the allowed number lies the margin above it. */
  private static double meanSenders(double most) {
    double root = (Math.sqrt(DRAW_MARGIN * DRAW_MARGIN + 4 * most) - DRAW_MARGIN) / 2;
    return root * root;
  }

  /** A number from 0 to 1 that depends on both names only. */
  private double draw() {
    return (NameHash.of(instance, incarnation) >>> 11) * 0x1.0p-53;
  }
}
