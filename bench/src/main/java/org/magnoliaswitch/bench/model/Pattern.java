package org.magnoliaswitch.bench.model;

import java.util.List;

/**
 * A pattern of load and trouble over the length of a replay.
 *
 * @param name one word for the report
 * @param deployment instances, servers and kinds of requests
 * @param load requests relative to an ordinary day
 * @param burst requests relative to that while the burst lasts
 * @param abusers share of callers that come back at once and more often than they are asked to
 * @param lostServers share of each service's servers that fall silent
 * @param lostInstances share of the instances whose callers turn to the others
 * @param outage whether all instances are away for a moment, so that everyone returns together
 * @param noiseShare share of the time that a server's neighbours are busy
 * @param rejected share of the requests that all servers of the first service reject while the
 *     burst lasts, whatever their load
 */
record Pattern(
    String name,
    Deployment deployment,
    double load,
    double burst,
    double abusers,
    double lostServers,
    double lostInstances,
    boolean outage,
    double noiseShare,
    double rejected) {
  static final double LENGTH_MILLIS = 20_000;
  static final double BURST_FROM_MILLIS = 6_000;
  static final double BURST_UNTIL_MILLIS = 11_000;
  static final double TROUBLE_MILLIS = 6_000;
  static final double OUTAGE_MILLIS = 1_200;

  private static final double NOISE = 0.25;

  static final List<Pattern> ALL =
      List.of(
          new Pattern("calm", Deployment.SMALL, 0.7, 1, 0, 0, 0, false, NOISE, 0),
          new Pattern("noise", Deployment.SMALL, 1, 1, 0, 0, 0, false, 0.4, 0),
          new Pattern("burst-1.7", Deployment.SMALL, 1.3, 1.7, 0, 0, 0, false, NOISE, 0),
          new Pattern("burst-3", Deployment.SMALL, 1, 3, 0, 0, 0, false, NOISE, 0),
          new Pattern("overload", Deployment.SMALL, 1.4, 1.7, 0, 1 / 6.0, 0, false, NOISE, 0),
          new Pattern("abuse", Deployment.SMALL, 1.3, 1.4, 0.3, 0, 0, false, NOISE, 0),
          new Pattern("servers-lost", Deployment.SMALL, 1.3, 1, 0, 1 / 6.0, 0, false, NOISE, 0),
          new Pattern("outage", Deployment.SMALL, 1.2, 1, 0, 0, 0, true, NOISE, 0),
          new Pattern("aftermath", Deployment.PATIENT, 1.35, 1.7, 0, 0, 0, false, 0.35, 0),
          new Pattern("grown", Deployment.GROWN, 1.2, 1.5, 0, 0, 0, false, 0.3, 0),
          new Pattern("few-slots", Deployment.FEW_SLOTS, 1.2, 1.6, 0, 0, 0, false, NOISE, 0),
          new Pattern("few-slots-3", Deployment.FEW_SLOTS, 1.3, 2.4, 0, 0, 0, false, NOISE, 0),
          new Pattern("rejecting", Deployment.FEW_SLOTS, 1.25, 1, 0, 0, 0, false, NOISE, 0.55),
          new Pattern("zone-lost", Deployment.SMALL, 1.2, 1.4, 0, 0, 1 / 3.0, false, NOISE, 0));

  /** Share of the requests that the servers of a service reject at a moment. */
  double rejectedAt(String service, double millis) {
    boolean first = deployment.servers().getFirst().getKey().equals(service);
    return first && bursting(millis) ? rejected : 0;
  }

  private static boolean bursting(double millis) {
    return millis >= BURST_FROM_MILLIS && millis < BURST_UNTIL_MILLIS;
  }

  /** Requests at a moment relative to an ordinary day. */
  double loadAt(double millis) {
    return load * (bursting(millis) ? burst : 1);
  }

  boolean awayAt(double millis) {
    return outage && millis >= TROUBLE_MILLIS && millis < TROUBLE_MILLIS + OUTAGE_MILLIS;
  }
}
