package org.magnoliaswitch.front.load;

/**
 * How often one instance may ask one server for its load; pure.
 *
 * <p>A server's budget holds over all instances together, and they do not agree on it: each takes
 * an even share of what is allowed, counting those that send to the server at all. Shared among all
 * instances of a large deployment it would allow each a question in many seconds, and most requests
 * would be placed without.
 */
public final class ProbeShare {
  /** Instances may be more than this one knows of. */
  private static final double INSTANCE_MARGIN = 1.3;

  /** Hashing puts up to twice as many instances on one server as on others. */
  private static final double PART_MARGIN = 2;

  private ProbeShare() {}

  /**
   * Questions a second.
   *
   * @param budget questions a second that a server may get from all instances together
   * @param instances how many instances serve, as far as known
   * @param part share of the service's servers that each instance sends to
   */
  public static double perSecond(double budget, int instances, double part) {
    double sharers = Math.max(1, instances) * Math.min(1, PART_MARGIN * part);
    return budget / (INSTANCE_MARGIN * Math.max(1, sharers));
  }
}
