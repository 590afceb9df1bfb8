package org.magnoliaswitch.core.version;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** The policy by which a backend server is chosen for a request. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = RoutingPolicy.RoundRobin.class, name = "round-robin"),
  @JsonSubTypes.Type(value = RoutingPolicy.LeastRequests.class, name = "least-requests"),
  @JsonSubTypes.Type(value = RoutingPolicy.FreshLoad.class, name = "fresh-load")
})
public sealed interface RoutingPolicy {
  /** Chooses the backend servers in turn; a baseline for comparisons. */
  record RoundRobin() implements RoutingPolicy {}

  /**
   * Chooses the one of two random servers that has fewer requests in flight from this instance; a
   * baseline for comparisons.
   */
  record LeastRequests() implements RoutingPolicy {}

  /**
   * Compares the reported loads of several random servers, corrected for the age of the report and
   * for the requests that this instance has sent since.
   *
   * @param candidates number of random servers compared for a request
   * @param reportHalfLifeMillis age at which the weight of a report has halved
   * @param remotePenaltyMillis latency penalty of a server in another data centre
   */
  record FreshLoad(int candidates, int reportHalfLifeMillis, int remotePenaltyMillis)
      implements RoutingPolicy {}
}
