package org.magnoliaswitch.bench.model;

import java.util.List;

/**
 * The load and the faults over the length of a replay.
 *
 * @param name name in the options and the report
 * @param deployment instances, servers and kinds of requests
 * @param load requests relative to normal load
 * @param burst factor on {@code load} during the burst
 * @param noiseShare share of the time during which the neighbours of a server are busy
 * @param abuserShare share of callers that retry immediately and more often than allowed
 * @param fault fault that is injected
 */
record LoadPattern(
    String name,
    Deployment deployment,
    double load,
    double burst,
    double noiseShare,
    double abuserShare,
    Fault fault) {
  static final double LENGTH_MILLIS = 20_000;
  static final double BURST_FROM_MILLIS = 6_000;
  static final double BURST_UNTIL_MILLIS = 11_000;
  static final double FAULT_MILLIS = 6_000;
  static final double OUTAGE_MILLIS = 1_200;

  private static final double NOISE = 0.25;

  static final List<LoadPattern> ALL =
      List.of(
          new LoadPattern("calm", Deployment.SMALL, 0.7, 1, NOISE, 0, Fault.NONE),
          new LoadPattern("noise", Deployment.SMALL, 1, 1, 0.4, 0, Fault.NONE),
          new LoadPattern("burst-1.7", Deployment.SMALL, 1.3, 1.7, NOISE, 0, Fault.NONE),
          new LoadPattern("burst-3", Deployment.SMALL, 1, 3, NOISE, 0, Fault.NONE),
          new LoadPattern(
              "overload", Deployment.SMALL, 1.4, 1.7, NOISE, 0, Fault.serversLost(1 / 6.0)),
          new LoadPattern("abuse", Deployment.SMALL, 1.3, 1.4, NOISE, 0.3, Fault.NONE),
          new LoadPattern(
              "servers-lost", Deployment.SMALL, 1.3, 1, NOISE, 0, Fault.serversLost(1 / 6.0)),
          new LoadPattern(
              "outage", Deployment.SMALL, 1.2, 1, NOISE, 0, Fault.allInstancesUnreachable()),
          new LoadPattern("aftermath", Deployment.PATIENT, 1.35, 1.7, 0.35, 0, Fault.NONE),
          new LoadPattern("grown", Deployment.GROWN, 1.2, 1.5, 0.3, 0, Fault.NONE),
          new LoadPattern("few-slots", Deployment.FEW_SLOTS, 1.2, 1.6, NOISE, 0, Fault.NONE),
          new LoadPattern("few-slots-3", Deployment.FEW_SLOTS, 1.3, 2.4, NOISE, 0, Fault.NONE),
          new LoadPattern(
              "rejecting", Deployment.FEW_SLOTS, 1.25, 1, NOISE, 0, Fault.rejecting(0.55)),
          new LoadPattern("large", Deployment.LARGE, 1, 1.4, NOISE, 0, Fault.NONE),
          new LoadPattern("large-burst", Deployment.LARGE, 1.2, 1.6, NOISE, 0, Fault.NONE),
          new LoadPattern(
              "large-rejecting", Deployment.LARGE, 1.2, 1, NOISE, 0, Fault.rejecting(0.55)),
          new LoadPattern("two-slots", Deployment.TWO_SLOTS, 1.2, 1.4, 0.3, 0, Fault.NONE),
          new LoadPattern("two-slots-burst", Deployment.TWO_SLOTS, 1.2, 1.8, 0.3, 0.2, Fault.NONE),
          new LoadPattern(
              "two-slots-lost", Deployment.TWO_SLOTS, 1.2, 1, 0.3, 0, Fault.serversLost(1 / 3.0)),
          new LoadPattern(
              "two-slots-rejecting", Deployment.TWO_SLOTS, 1.2, 1, 0.3, 0, Fault.rejecting(0.55)),
          new LoadPattern(
              "two-slots-ended", Deployment.TWO_SLOTS, 1, 1, 0.3, 0, Fault.oneDataCentreCrashes()),
          new LoadPattern(
              "two-slots-ended-pressed",
              Deployment.TWO_SLOTS,
              1.6,
              1.6,
              0.3,
              0.24,
              Fault.oneDataCentreCrashes()),
          new LoadPattern("uneven", Deployment.UNEVEN, 1, 1, 0.3, 0, Fault.NONE),
          new LoadPattern("uneven-burst", Deployment.UNEVEN, 1, 2, 0.3, 0, Fault.NONE),
          new LoadPattern(
              "uneven-timeouts",
              Deployment.UNEVEN.withTimeoutSpread(0.1),
              1,
              2,
              0.3,
              0,
              Fault.NONE),
          new LoadPattern(
              "uneven-ended", Deployment.UNEVEN, 1, 1, 0.3, 0, Fault.oneDataCentreCrashes()),
          new LoadPattern(
              "zone-lost", Deployment.SMALL, 1.2, 1.4, NOISE, 0, Fault.instancesLost(1 / 3.0)));

  /** Returns the share of the requests that the servers of a service reject at the given time. */
  double rejectedShareAt(String service, double millis) {
    boolean first = deployment.servers().getFirst().getKey().equals(service);
    return first && bursting(millis) ? fault.rejectedShare() : 0;
  }

  private static boolean bursting(double millis) {
    return millis >= BURST_FROM_MILLIS && millis < BURST_UNTIL_MILLIS;
  }

  /** Returns the requests at the given time relative to normal load. */
  double loadAt(double millis) {
    return load * (bursting(millis) ? burst : 1);
  }

  boolean outageAt(double millis) {
    return fault.outage() && millis >= FAULT_MILLIS && millis < FAULT_MILLIS + OUTAGE_MILLIS;
  }
}
