package org.magnoliaswitch.core.version;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** How a backend server is chosen for a request. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = RoutingPolicy.RoundRobin.class, name = "round-robin"),
  @JsonSubTypes.Type(value = RoutingPolicy.LeastRequests.class, name = "least-requests"),
  @JsonSubTypes.Type(value = RoutingPolicy.FreshLoad.class, name = "fresh-load")
})
public sealed interface RoutingPolicy {
  /** Each backend server in turn; a baseline. */
  record RoundRobin() implements RoutingPolicy {}

  /** The lesser of two random servers by this instance's own requests in flight; a baseline. */
  record LeastRequests() implements RoutingPolicy {}

  /**
   * Reports of load corrected by age and by the instance's own sends since.
   *
   * @param candidates how many random servers are compared for one request
   * @param reportHalfLifeMillis age at which a report counts half
   * @param remotePenaltyMillis latency added to a server in another data centre
   */
  record FreshLoad(int candidates, int reportHalfLifeMillis, int remotePenaltyMillis)
      implements RoutingPolicy {}
}
