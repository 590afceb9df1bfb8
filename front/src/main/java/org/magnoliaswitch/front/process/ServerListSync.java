package org.magnoliaswitch.front.process;

import java.util.OptionalLong;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Applies lists of servers that were read or received from peers, and tracks when the list in force
 * was last confirmed to be the newest. Runs on the control loop.
 */
final class ServerListSync {
  private final KnownState knownState;
  private final Clocks clocks;
  private final EventLog log;
  private final FrontMetrics metrics;
  private final DiscoveryReconciler reconciler = new DiscoveryReconciler();
  private final Freshness freshness = new Freshness();
  private volatile int retained;
  private Revision lastIgnoredFor = Revision.NONE;
  private volatile boolean uncertain;

  ServerListSync(KnownState knownState, Environment environment) {
    this.knownState = knownState;
    this.clocks = environment.clocks();
    this.log = environment.log();
    this.metrics = environment.metrics();
  }

  /** Returns the time since the list in force was last confirmed to be the newest. */
  long ageMillis() {
    return freshness.ageMillis(clocks.nanos());
  }

  /** Returns how many servers the last list did not contain and were retained. */
  int retained() {
    return retained;
  }

  /** Returns the time until an own read is due because retained entries must be dropped. */
  OptionalLong untilRetentionEndsNanos() {
    return reconciler.untilRetentionEndsNanos(clocks.nanos());
  }

  /**
   * Returns the list in force as it is told to peers: while this instance is uncertain whether the
   * store was available, a list that the store returned says nothing about missing servers.
   */
  ServerList published() {
    ServerList inForce = knownState.servers();
    return reconciler.uncertain() && inForce.revision().exact()
        ? new ServerList(inForce.revision().inexact(), inForce.servers())
        : inForce;
  }

  /** Whether this instance does not know if the store was available to others all the while. */
  boolean uncertain() {
    return uncertain;
  }

  /** Applies the list of a peer that the source confirmed as of a time. */
  void received(ServerList list, long asOfNanos) {
    if (!list.known() || outdated(list, "peer")) {
      return;
    }
    long now = clocks.nanos();
    if (!reconciler.accepts(list, asOfNanos, now)) {
      metrics.count("server.lists.uncertain", "", "peer");
      logIgnored(list, "uncertain");
      return;
    }
    if (list.revision().newerThan(knownState.servers().revision())) {
      knownState.offer(reconciler.adopt(list, now));
      logRetained(reconciler.retained());
    }
    logCertainty("peer", list);
    freshness.confirmed(asOfNanos);
  }

  /**
   * Applies a list that was read at a time. Returns false if it is older than the one in force, in
   * which case it confirms nothing.
   */
  boolean read(ServerList list, long asOfNanos) {
    if (outdated(list, "store")) {
      logIgnored(list, "older");
      return false;
    }
    knownState.offer(reconciler.reconcile(list, clocks.nanos()));
    logRetained(reconciler.retained());
    logCertainty("store", list);
    freshness.confirmed(asOfNanos);
    return true;
  }

  /** Records that a read confirmed the list in force without returning one. */
  void unchanged(long asOfNanos) {
    freshness.confirmed(asOfNanos);
  }

  /** Records that a read failed that began at a time. */
  void readFailed(long begunNanos) {
    reconciler.readFailed(begunNanos);
  }

  /**
   * Whether a list was read before the one in force. It was the newest once, so its age does not
   * say that the one in force is.
   */
  private boolean outdated(ServerList list, String origin) {
    boolean outdated = list.known() && list.revision().precedes(knownState.servers().revision());
    if (outdated) {
      metrics.count("server.lists.older", "", origin);
    }
    return outdated;
  }

  /** Logs an ignored list, once for each list in force. */
  private void logIgnored(ServerList list, String reason) {
    Revision inForce = knownState.servers().revision();
    if (!inForce.equals(lastIgnoredFor)) {
      lastIgnoredFor = inForce;
      log.stateChange("servers_ignored")
          .add("list", list.revision().toString())
          .add("held", inForce.toString())
          .add("reason", reason)
          .write();
    }
  }

  private void logCertainty(String source, ServerList list) {
    boolean before = uncertain;
    uncertain = reconciler.uncertain();
    if (uncertain != before) {
      log.stateChange(uncertain ? "servers_uncertain" : "servers_certain")
          .add("source", source)
          .add("list", list.revision().toString())
          .add("retained", reconciler.retained())
          .write();
    }
  }

  private void logRetained(int count) {
    if (count != retained) {
      log.stateChange("servers_retained").add("count", count).add("before", retained).write();
    }
    retained = count;
  }
}
