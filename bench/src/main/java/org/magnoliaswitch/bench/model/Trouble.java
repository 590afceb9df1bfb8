package org.magnoliaswitch.bench.model;

/**
 * What goes wrong besides the load.
 *
 * @param lostServers share of each service's servers that fall silent
 * @param lostInstances share of the instances whose callers turn to the others
 * @param outage whether all instances are away for a moment, so that everyone returns together
 * @param dataCentreEnds whether all servers of one data centre end
 * @param rejected share of the requests that all servers of the first service reject while the
 *     burst lasts, whatever their load
 */
record Trouble(
    double lostServers,
    double lostInstances,
    boolean outage,
    boolean dataCentreEnds,
    double rejected) {
  static final Trouble NONE = new Trouble(0, 0, false, false, 0);

  static Trouble serversLost(double share) {
    return new Trouble(share, 0, false, false, 0);
  }

  static Trouble instancesLost(double share) {
    return new Trouble(0, share, false, false, 0);
  }

  static Trouble allAway() {
    return new Trouble(0, 0, true, false, 0);
  }

  static Trouble rejecting(double share) {
    return new Trouble(0, 0, false, false, share);
  }

  static Trouble oneDataCentreEnds() {
    return new Trouble(0, 0, false, true, 0);
  }
}
