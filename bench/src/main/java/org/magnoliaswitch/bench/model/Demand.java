package org.magnoliaswitch.bench.model;

/**
 * The data centres of a deployment, and how the requests of callers differ between them and among
 * each other.
 *
 * @param dataCentres number of data centres, among which instances and servers alternate
 * @param farMillis network latency in one direction between two data centres
 * @param swing share by which the requests in each data centre vary around their mean, at phases
 *     that are spread evenly over the data centres; 0 if callers use the instances of all data
 *     centres
 * @param longShare share of the requests that run {@link #LONG_FACTOR} times as long as others
 */
record Demand(int dataCentres, double farMillis, double swing, double longShare) {
  /** Factor on the execution time of long requests. */
  static final double LONG_FACTOR = 7;

  private static final double PERIOD_MILLIS = 15_000;

  /** Three data centres with the same demand, and requests of similar length. */
  static final Demand EVEN = new Demand(3, 1.4, 0, 0);

  /** Demand that moves between four data centres, and a few requests that take much longer. */
  static final Demand UNEVEN = new Demand(4, 0.5, 0.55, 0.03);

  /** Returns the number of groups of callers; each group uses the instances of a data centre. */
  int callerGroups() {
    return swing == 0 ? 1 : dataCentres;
  }

  /** Returns the requests of a group of callers at the given time, as a share of all requests. */
  double shareAt(int group, double millis) {
    double phase = millis / PERIOD_MILLIS + group / (double) callerGroups();
    return (1 + swing * Math.sin(2 * Math.PI * phase)) / callerGroups();
  }
}
