package org.magnoliaswitch.bench.model;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.WeightedService;

/**
 * A kind of request.
 *
 * @param perSecond requests per second under normal load
 * @param workMillis mean execution time on an undisturbed server
 * @param value value of an answer within the objective
 * @param lateValue value of an answer after the objective
 */
record Kind(Route route, double perSecond, double workMillis, double value, double lateValue) {
  private static final int MAX_SERVERS = 2;

  static final String STATUS = "status";
  static final String BOOKING = "booking";
  static final String SCHEDULE = "schedule";
  static final String CERTIFICATES = "certificates";
  static final String ACCOUNTS = "accounts";
  static final String RECORDS = "records";

  /** Reads, bookings, changes and closings for three services. */
  static final List<Kind> SHORT =
      List.of(
          kind("read", STATUS, true, 221, 120, 300, 1_000, 2, 1),
          kind("book", BOOKING, false, 71, 150, 400, 1_000, 1, 2),
          kind("shift", SCHEDULE, false, 58.5, 82, 250, 600, 0, 3),
          kind("close", SCHEDULE, false, 27.1, 93, 250, 800, 2, 1));

  /** Reads, bookings, changes and closings of callers with longer timeouts, which retry twice. */
  static final List<Kind> PATIENT =
      List.of(
          kind("read", STATUS, true, 220, 120, 300, 2_500, 2, 1),
          kind("book", BOOKING, false, 75, 150, 400, 2_500, 1, 2),
          kind("shift", SCHEDULE, false, 53, 81, 250, 1_500, 0, 3),
          kind("close", SCHEDULE, false, 30.4, 93, 250, 2_000, 2, 1));

  /**
   * Reads, bookings, changes and closings whose execution takes five times as long as in {@link
   * #SHORT}.
   */
  static final List<Kind> LONG =
      List.of(
          kind("read", STATUS, true, 379, 571, 1_508, 2_500, 2, 1),
          kind("book", BOOKING, false, 121, 745, 2_019, 3_000, 1, 2),
          kind("shift", SCHEDULE, false, 100, 400, 1_010, 2_000, 0, 3),
          kind("close", SCHEDULE, false, 46.5, 460, 1_204, 2_000, 2, 1));

  /** Reads, payouts, lots and certificates for four services. */
  static final List<Kind> FEW_SLOTS =
      List.of(
          kind("read", STATUS, true, 60.5, 160, 400, 1_200, 2, 1),
          kind("pay", BOOKING, false, 18.8, 210, 500, 1_500, 1, 2),
          kind("lots", SCHEDULE, true, 18.8, 400, 1_000, 3_000, 2, 1),
          kind("certify", CERTIFICATES, false, 6.78, 130, 400, 1_000, 2, 1));

  /** Requests that take up to a second, with timeouts of three to five times the execution time. */
  static final List<Kind> LARGE =
      List.of(
          kind("read", STATUS, true, 259, 640, 1_500, 5_000, 2, 1),
          kind("book", BOOKING, false, 83, 830, 2_000, 6_000, 1, 2),
          kind("shift", SCHEDULE, false, 68, 450, 1_200, 3_000, 0, 3),
          kind("close", SCHEDULE, false, 32, 510, 1_200, 4_000, 2, 1));

  /**
   * Requests that take about a quarter of a second; a change has the highest value and priority.
   */
  static final List<Kind> TWO_SLOTS =
      List.of(
          kind("read", STATUS, true, 110, 220, 600, 1_500, 2, 1),
          kind("book", BOOKING, false, 107, 290, 800, 2_000, 1, 2),
          kind("shift", SCHEDULE, false, 29, 150, 400, 1_500, 0, 3),
          kind("close", SCHEDULE, false, 41.5, 180, 500, 1_200, 2, 1));

  /** Short and long requests with timeouts of five to ten times their objectives. */
  static final List<Kind> UNEVEN =
      List.of(
          kind("balance", ACCOUNTS, true, 302, 94, 304, 2_020, 2, 1),
          kind("transfer", ACCOUNTS, false, 84, 120, 406, 3_033, 1, 2),
          kind("statement", RECORDS, true, 114, 239, 804, 5_026, 2, 1),
          kind("activity", RECORDS, true, 69, 37, 158, 1_577, 1, 2));

  private static Kind kind(
      String name,
      String service,
      boolean idempotent,
      double perSecond,
      double workMillis,
      long objectiveMillis,
      long timeoutMillis,
      int priority,
      double value) {
    Route route =
        new Route(
            name,
            "host",
            "/" + name + "/",
            idempotent,
            TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
            TimeUnit.MILLISECONDS.toNanos(objectiveMillis),
            priority,
            MAX_SERVERS,
            List.of(new WeightedService(service, 1)));
    return new Kind(route, perSecond, workMillis, value, value / 10);
  }

  String service() {
    return route.services().getFirst().service();
  }
}
