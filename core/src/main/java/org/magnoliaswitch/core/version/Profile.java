package org.magnoliaswitch.core.version;

import java.util.List;
import java.util.Optional;

/**
 * A named set of traffic policies that services refer to.
 *
 * @param name unique name of the profile
 * @param routing policy by which a backend server is chosen
 * @param measuring limit on probes
 * @param admission limits on concurrent and queued requests
 * @param retry budget of retries and hedges
 * @param keys rules for idempotency keys
 * @param refusalStatuses HTTP statuses with which a backend server reports that it did not execute
 *     a request
 * @param kinds kinds of request; the first match applies
 */
public record Profile(
    String name,
    RoutingPolicy routing,
    ProbeBudget measuring,
    AdmissionPolicy admission,
    RetryPolicy retry,
    KeyPolicy keys,
    List<Integer> refusalStatuses,
    List<RequestKind> kinds) {
  public Profile {
    refusalStatuses = List.copyOf(refusalStatuses);
    kinds = List.copyOf(kinds);
  }

  /** Returns the first kind that matches the request. */
  public Optional<RequestKind> kindOf(String method, String path) {
    for (RequestKind kind : kinds) {
      if (kind.matches(method, path)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
