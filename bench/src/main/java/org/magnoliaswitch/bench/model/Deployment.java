package org.magnoliaswitch.bench.model;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The instances and servers of a simulation and the requests that callers send to them.
 *
 * @param instances number of instances; they do not communicate with each other
 * @param servers services with their numbers of servers; a list, because a replay of a seed repeats
 *     only if the order is fixed
 * @param traits behaviour of the servers
 * @param demand data centres, and how requests differ between them
 * @param kinds kinds of requests
 * @param probesPerServer probes per second that a server receives from all instances together
 * @param repeatSlack further attempts that a service may receive in ten seconds in addition to the
 *     share of its requests that the retry budget allows
 * @param timeoutSpread share of the longest timeout by which the timeouts of callers vary
 * @param retries retries of a caller
 */
record Deployment(
    int instances,
    List<Map.Entry<String, Integer>> servers,
    ServerTraits traits,
    Demand demand,
    List<Kind> kinds,
    double probesPerServer,
    double repeatSlack,
    double timeoutSpread,
    int retries) {
  /** Few, small servers and short requests. */
  static final Deployment SMALL =
      new Deployment(
          17, services(19, 8, 6), ServerTraits.SIX_SLOTS, Demand.EVEN, Kind.SHORT, 60, 62, 0, 1);

  /** Few, small servers, and callers with long timeouts that retry twice. */
  static final Deployment PATIENT =
      new Deployment(
          18, services(19, 8, 6), ServerTraits.SIX_SLOTS, Demand.EVEN, Kind.PATIENT, 60, 62, 0, 2);

  /**
   * Many instances that each receive few requests, and requests that run longer than the noise of a
   * neighbour lasts.
   */
  static final Deployment GROWN =
      new Deployment(
          129, services(148, 62, 42), ServerTraits.SIX_SLOTS, Demand.EVEN, Kind.LONG, 42, 62, 0, 1);

  /**
   * The largest number of instances; each receives three requests per second for three services.
   */
  static final Deployment LARGE =
      new Deployment(
          152,
          services(123, 52, 35),
          ServerTraits.SIX_SLOTS_CONNECTED,
          Demand.EVEN,
          Kind.LARGE,
          60,
          230,
          0.15,
          1);

  /** Servers with three slots, and requests that run as long as the noise of a neighbour lasts. */
  static final Deployment FEW_SLOTS =
      new Deployment(
          18,
          List.of(
              Map.entry(Kind.STATUS, 15),
              Map.entry(Kind.BOOKING, 8),
              Map.entry(Kind.SCHEDULE, 11),
              Map.entry(Kind.CERTIFICATES, 8)),
          ServerTraits.THREE_SLOTS,
          Demand.EVEN,
          Kind.FEW_SLOTS,
          60,
          62,
          0,
          1);

  /**
   * Servers with two slots; each instance receives three requests per second for three services.
   */
  static final Deployment TWO_SLOTS =
      new Deployment(
          97,
          services(65, 81, 31),
          ServerTraits.TWO_SLOTS_CONNECTED,
          Demand.EVEN,
          Kind.TWO_SLOTS,
          42,
          164,
          0,
          1);

  /**
   * Two services whose servers have two slots and reset connections when they are full, demand that
   * moves between data centres, and a few long requests.
   */
  static final Deployment UNEVEN =
      new Deployment(
          39,
          List.of(Map.entry(Kind.ACCOUNTS, 106), Map.entry(Kind.RECORDS, 80)),
          ServerTraits.TWO_SLOTS_RESETTING,
          Demand.UNEVEN,
          Kind.UNEVEN,
          42,
          162,
          0,
          1);

  /** Returns this deployment with timeouts of callers that differ by a share of the longest one. */
  Deployment withTimeoutSpread(double share) {
    return new Deployment(
        instances, servers, traits, demand, kinds, probesPerServer, repeatSlack, share, retries);
  }

  /** Returns the longest timeout of a caller. */
  long maxTimeoutMillis() {
    return kinds.stream()
        .mapToLong(kind -> TimeUnit.NANOSECONDS.toMillis(kind.route().timeoutNanos()))
        .max()
        .orElse(0);
  }

  private static List<Map.Entry<String, Integer>> services(int status, int booking, int schedule) {
    return List.of(
        Map.entry(Kind.STATUS, status),
        Map.entry(Kind.BOOKING, booking),
        Map.entry(Kind.SCHEDULE, schedule));
  }
}
