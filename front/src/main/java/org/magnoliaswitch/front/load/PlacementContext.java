package org.magnoliaswitch.front.load;

/**
 * What the choice of a server for one request depends on besides the servers.
 *
 * @param expectedNanos usual latency of such a request on an undisturbed server
 * @param allowedNanos time until an answer loses most of the value that it can still have
 * @param timeliness whether the request can be in time
 * @param load what is known of the service as a whole
 * @param dataCentre where this instance runs
 * @param mechanisms which parts of the decision are in force
 * @param nowNanos monotonic time
 */
public record PlacementContext(
    double expectedNanos,
    long allowedNanos,
    Timeliness timeliness,
    ServiceLoad load,
    String dataCentre,
    Mechanisms mechanisms,
    long nowNanos) {
  /** Whether a mechanism is in force. */
  boolean enabled(Mechanism mechanism) {
    return mechanisms.enabled(mechanism);
  }
}
