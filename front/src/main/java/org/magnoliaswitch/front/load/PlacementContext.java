package org.magnoliaswitch.front.load;

/**
 * The inputs for placing one request, besides the servers.
 *
 * @param expectedNanos usual latency of such a request on an undisturbed server
 * @param allowedNanos time until an answer loses most of its remaining value
 * @param timeliness whether the request can still be answered in time
 * @param standing whether the request's team asks for more than its rate
 * @param load known load of the service as a whole
 * @param dataCentre data centre of this instance
 * @param mechanisms the mechanisms that are not disabled
 * @param nowNanos monotonic time
 */
public record PlacementContext(
    double expectedNanos,
    long allowedNanos,
    Timeliness timeliness,
    TeamStanding standing,
    ServiceLoad load,
    String dataCentre,
    Mechanisms mechanisms,
    long nowNanos) {
  /** Creates the inputs for a request of a team that asks for no more than its rate. */
  public PlacementContext(
      double expectedNanos,
      long allowedNanos,
      Timeliness timeliness,
      ServiceLoad load,
      String dataCentre,
      Mechanisms mechanisms,
      long nowNanos) {
    this(
        expectedNanos,
        allowedNanos,
        timeliness,
        TeamStanding.WITHIN_RATE,
        load,
        dataCentre,
        mechanisms,
        nowNanos);
  }

  boolean enabled(Mechanism mechanism) {
    return mechanisms.enabled(mechanism);
  }
}
