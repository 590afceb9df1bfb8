package org.magnoliaswitch.core.crash;

import java.util.Set;

/**
 * An observation of one instance about a request during which servers crash, in the form exchanged
 * between instances. Reports may arrive late, repeatedly and in any order: the resulting state is
 * always the same.
 *
 * <p>Servers are identified by their incarnations. An incarnation crashes at most once, so a
 * cleared crash stays cleared. The entry does not know incarnations and passes the ids of declared
 * servers, which survive a restart: repeated crashes of one server during a request count once
 * there.
 */
public sealed interface CrashReport {
  /** The request that the report is about. */
  RequestIdentity request();

  /**
   * A server crashed while it served the request.
   *
   * @param server incarnation of the server
   * @param warned whether the sender knew that the request was suspect when it sent it
   */
  record Crashed(RequestIdentity request, String server, boolean warned) implements CrashReport {}

  /**
   * The request did not cause these crashes: a server has answered it since, or the servers had not
   * crashed.
   *
   * @param servers incarnations whose crashes no longer count
   * @param trials number of trials made before, which no longer count either
   */
  record Cleared(RequestIdentity request, Set<String> servers, int trials) implements CrashReport {
    public Cleared {
      servers = Set.copyOf(servers);
    }
  }

  /**
   * A suspect request is let through to one server, to see whether that server crashes too.
   *
   * @param trialNumber number of times the request has been let through, including this one
   */
  record TrialStarted(RequestIdentity request, int trialNumber) implements CrashReport {}
}
