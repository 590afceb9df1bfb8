package org.magnoliaswitch.bench.model;

/**
 * A fault that is injected in addition to the load.
 *
 * @param lostServers share of the servers of each service that stop responding
 * @param lostInstances share of the instances that are lost, so that their callers use the other
 *     instances
 * @param outage whether all instances are unreachable for a short time, so that all callers retry
 *     together
 * @param dataCentreCrashes whether all servers of one data centre crash
 * @param rejectedShare share of the requests that all servers of the first service reject during
 *     the burst, regardless of their load
 */
record Fault(
    double lostServers,
    double lostInstances,
    boolean outage,
    boolean dataCentreCrashes,
    double rejectedShare) {
  static final Fault NONE = new Fault(0, 0, false, false, 0);

  static Fault serversLost(double share) {
    return new Fault(share, 0, false, false, 0);
  }

  static Fault instancesLost(double share) {
    return new Fault(0, share, false, false, 0);
  }

  static Fault allInstancesUnreachable() {
    return new Fault(0, 0, true, false, 0);
  }

  static Fault rejecting(double share) {
    return new Fault(0, 0, false, false, share);
  }

  static Fault oneDataCentreCrashes() {
    return new Fault(0, 0, false, true, 0);
  }
}
