package org.magnoliaswitch.core.crash;

import java.util.Set;

/**
 * What one instance learns about a request under which servers end, in the form in which instances
 * tell each other. Reports may come late, twice and in any order: taken together they always mean
 * the same.
 *
 * <p>Servers are named by their incarnations: one ends once, so an end that was cleared stays so.
 */
public sealed interface CrashReport {
  /** The request that the report is about. */
  RequestIdentity request();

  /**
   * A server ended while it had the request.
   *
   * @param server incarnation of the server
   * @param warned whether the sender knew the request for suspect when it sent it
   */
  record Crashed(RequestIdentity request, String server, boolean warned) implements CrashReport {}

  /**
   * The request is not the cause of these ends: a server has answered it since, or they were none.
   *
   * @param servers incarnations whose ends no longer count
   * @param trials how many trials were made before; they do not count either
   */
  record Cleared(RequestIdentity request, Set<String> servers, int trials) implements CrashReport {
    public Cleared {
      servers = Set.copyOf(servers);
    }
  }

  /**
   * A suspect request is let through to one server, to see whether that ends too.
   *
   * @param trialNumber how many times it has been let through, this one included
   */
  record TrialStarted(RequestIdentity request, int trialNumber) implements CrashReport {}
}
