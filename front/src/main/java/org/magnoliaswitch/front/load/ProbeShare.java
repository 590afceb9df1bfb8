package org.magnoliaswitch.front.load;

/**
 * The rate at which one instance may probe one server for its load. Stateless and free of I/O.
 *
 * <p>The probe budget of a server covers all instances together, and the instances do not
 * coordinate. The budget is divided among the instances that send to the server. Divided among all
 * instances of a large deployment, each could probe only once in many seconds, and most requests
 * would be placed without a probe.
 */
public final class ProbeShare {
  /** Allowance for instances that this one does not know of. */
  private static final double INSTANCE_MARGIN = 1.3;

  /** Hashing assigns up to twice as many instances to one server as to others. */
  private static final double SUBSET_MARGIN = 2;

  private ProbeShare() {}

  /**
   * Returns the probes per second.
   *
   * @param budget probes per second that a server may receive from all instances together
   * @param instances known number of serving instances
   * @param subsetShare share of the service's servers that each instance sends to
   */
  public static double perSecond(double budget, int instances, double subsetShare) {
    double senders = Math.max(1, instances) * Math.min(1, SUBSET_MARGIN * subsetShare);
    return budget / (INSTANCE_MARGIN * Math.max(1, senders));
  }
}
