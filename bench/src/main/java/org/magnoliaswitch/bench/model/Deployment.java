package org.magnoliaswitch.bench.model;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * How many instances and servers there are, and what callers want of them.
 *
 * @param instances instances that do not see each other
 * @param servers services with their numbers of servers; in a fixed order, or a seed would not
 *     repeat
 * @param traits how the servers behave
 * @param kinds kinds of requests
 * @param probesPerServer health checks a second that a server gets of all instances together
 * @param repeatSlack further sends that a service may get in ten seconds besides its share of the
 *     requests
 * @param patienceSpread share of the longest wait by which callers differ
 * @param retries how often a caller comes back
 */
record Deployment(
    int instances,
    List<Map.Entry<String, Integer>> servers,
    ServerTraits traits,
    List<Kind> kinds,
    double probesPerServer,
    double repeatSlack,
    double patienceSpread,
    int retries) {
  /** Few and small servers, short work. */
  static final Deployment SMALL =
      new Deployment(17, services(19, 8, 6), ServerTraits.SIX_SLOTS, Kind.SHORT, 60, 62, 0, 1);

  /** Callers that wait long and come back twice. */
  static final Deployment PATIENT =
      new Deployment(18, services(19, 8, 6), ServerTraits.SIX_SLOTS, Kind.PATIENT, 60, 62, 0, 2);

  /** Many instances that each see few requests, and work that outlasts a neighbour's noise. */
  static final Deployment GROWN =
      new Deployment(129, services(148, 62, 42), ServerTraits.SIX_SLOTS, Kind.LONG, 42, 62, 0, 1);

  /** The most instances: each sees three requests a second over three services. */
  static final Deployment LARGE =
      new Deployment(
          152,
          services(123, 52, 35),
          ServerTraits.SIX_SLOTS_CONNECTED,
          Kind.LARGE,
          60,
          230,
          0.15,
          1);

  /** Servers with three slots, and work that lasts as long as a neighbour's noise. */
  static final Deployment FEW_SLOTS =
      new Deployment(
          18,
          List.of(
              Map.entry(Kind.STATUS, 15),
              Map.entry(Kind.BOOKING, 8),
              Map.entry(Kind.SCHEDULE, 11),
              Map.entry(Kind.CERTIFICATES, 8)),
          ServerTraits.THREE_SLOTS,
          Kind.FEW_SLOTS,
          60,
          62,
          0,
          1);

  /** Servers with two slots; each instance sees three requests a second over three services. */
  static final Deployment TWO_SLOTS =
      new Deployment(
          97,
          services(65, 81, 31),
          ServerTraits.TWO_SLOTS_CONNECTED,
          Kind.TWO_SLOTS,
          42,
          164,
          0,
          1);

  /** How long the most patient callers wait. */
  long longestWaitMillis() {
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
