package org.magnoliaswitch.core.version;

import java.util.List;
import java.util.Optional;

/**
 * A named treatment of traffic that services pick.
 *
 * @param name unique among the profiles
 * @param routing how a backend server is chosen
 * @param measuring bound on probes
 * @param admission bound on requests at once
 * @param retry budget of further attempts
 * @param keys treatment of idempotency keys
 * @param refusalStatuses statuses by which a backend server says that it did not execute a request
 * @param kinds kinds of request, the first match counts
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

  /** The first kind that covers a request. */
  public Optional<RequestKind> kindOf(String method, String path) {
    for (RequestKind kind : kinds) {
      if (kind.matches(method, path)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
