package org.magnoliaswitch.bench.model;

import java.util.List;

/**
 * A pattern of load and trouble over the length of a replay.
 *
 * @param name one word for the report
 * @param deployment instances, servers and kinds of requests
 * @param load requests relative to an ordinary day
 * @param burst requests relative to that while the burst lasts
 * @param noiseShare share of the time that a server's neighbours are busy
 * @param abusers share of callers that come back at once and more often than they are asked to
 * @param trouble what goes wrong besides
 */
record Pattern(
    String name,
    Deployment deployment,
    double load,
    double burst,
    double noiseShare,
    double abusers,
    Trouble trouble) {
  static final double LENGTH_MILLIS = 20_000;
  static final double BURST_FROM_MILLIS = 6_000;
  static final double BURST_UNTIL_MILLIS = 11_000;
  static final double TROUBLE_MILLIS = 6_000;
  static final double OUTAGE_MILLIS = 1_200;

  private static final double NOISE = 0.25;

  static final List<Pattern> ALL =
      List.of(
          new Pattern("calm", Deployment.SMALL, 0.7, 1, NOISE, 0, Trouble.NONE),
          new Pattern("noise", Deployment.SMALL, 1, 1, 0.4, 0, Trouble.NONE),
          new Pattern("burst-1.7", Deployment.SMALL, 1.3, 1.7, NOISE, 0, Trouble.NONE),
          new Pattern("burst-3", Deployment.SMALL, 1, 3, NOISE, 0, Trouble.NONE),
          new Pattern(
              "overload", Deployment.SMALL, 1.4, 1.7, NOISE, 0, Trouble.serversLost(1 / 6.0)),
          new Pattern("abuse", Deployment.SMALL, 1.3, 1.4, NOISE, 0.3, Trouble.NONE),
          new Pattern(
              "servers-lost", Deployment.SMALL, 1.3, 1, NOISE, 0, Trouble.serversLost(1 / 6.0)),
          new Pattern("outage", Deployment.SMALL, 1.2, 1, NOISE, 0, Trouble.allAway()),
          new Pattern("aftermath", Deployment.PATIENT, 1.35, 1.7, 0.35, 0, Trouble.NONE),
          new Pattern("grown", Deployment.GROWN, 1.2, 1.5, 0.3, 0, Trouble.NONE),
          new Pattern("few-slots", Deployment.FEW_SLOTS, 1.2, 1.6, NOISE, 0, Trouble.NONE),
          new Pattern("few-slots-3", Deployment.FEW_SLOTS, 1.3, 2.4, NOISE, 0, Trouble.NONE),
          new Pattern(
              "rejecting", Deployment.FEW_SLOTS, 1.25, 1, NOISE, 0, Trouble.rejecting(0.55)),
          new Pattern("large", Deployment.LARGE, 1, 1.4, NOISE, 0, Trouble.NONE),
          new Pattern("large-burst", Deployment.LARGE, 1.2, 1.6, NOISE, 0, Trouble.NONE),
          new Pattern(
              "large-rejecting", Deployment.LARGE, 1.2, 1, NOISE, 0, Trouble.rejecting(0.55)),
          new Pattern("two-slots", Deployment.TWO_SLOTS, 1.2, 1.4, 0.3, 0, Trouble.NONE),
          new Pattern("two-slots-burst", Deployment.TWO_SLOTS, 1.2, 1.8, 0.3, 0.2, Trouble.NONE),
          new Pattern(
              "two-slots-lost", Deployment.TWO_SLOTS, 1.2, 1, 0.3, 0, Trouble.serversLost(1 / 3.0)),
          new Pattern(
              "two-slots-rejecting", Deployment.TWO_SLOTS, 1.2, 1, 0.3, 0, Trouble.rejecting(0.55)),
          new Pattern(
              "two-slots-ended", Deployment.TWO_SLOTS, 1, 1, 0.3, 0, Trouble.oneDataCentreEnds()),
          new Pattern(
              "two-slots-ended-pressed",
              Deployment.TWO_SLOTS,
              1.6,
              1.6,
              0.3,
              0.24,
              Trouble.oneDataCentreEnds()),
          new Pattern(
              "zone-lost", Deployment.SMALL, 1.2, 1.4, NOISE, 0, Trouble.instancesLost(1 / 3.0)));

  /** Share of the requests that the servers of a service reject at a moment. */
  double rejectedAt(String service, double millis) {
    boolean first = deployment.servers().getFirst().getKey().equals(service);
    return first && bursting(millis) ? trouble.rejected() : 0;
  }

  private static boolean bursting(double millis) {
    return millis >= BURST_FROM_MILLIS && millis < BURST_UNTIL_MILLIS;
  }

  /** Requests at a moment relative to an ordinary day. */
  double loadAt(double millis) {
    return load * (bursting(millis) ? burst : 1);
  }

  boolean awayAt(double millis) {
    return trouble.outage() && millis >= TROUBLE_MILLIS && millis < TROUBLE_MILLIS + OUTAGE_MILLIS;
  }
}
