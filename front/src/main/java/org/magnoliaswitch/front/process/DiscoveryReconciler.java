package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Decides which backend servers exist from a series of lists, read from the store or received from
 * peers, some of which follow an outage.
 *
 * <p>While the store is unavailable, entries of live servers expire, and right after its recovery a
 * read lists few servers or none. Trusting that read would leave no server to send to, so missing
 * entries are retained until live servers have had time to register again; an entry that is still
 * missing then is dropped. The same holds after the store has been restored from a copy, which
 * lacks the entries of servers that have registered since. Missing entries of draining servers are
 * not retained. Outside of outages a missing entry is dropped at once.
 *
 * <p>An instance that could not read the store cannot tell an outage of the store from one of its
 * own network. It is then <em>uncertain</em> and marks its lists as inexact. An instance that has
 * followed the store without interruption is certain, and its exact list shows an uncertain one
 * that there was no outage. A certain instance does not adopt the list of an uncertain one: it may
 * contain servers that are known to have left.
 */
public final class DiscoveryReconciler {
  /**
   * How long missing entries are retained: live servers are registered again within two seconds of
   * the store's recovery.
   */
  static final long RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

  /**
   * A longer time without a confirmation of the list, by a read or by a peer, may hide an outage
   * during which entries expired.
   */
  static final long OUTAGE_GAP_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * The same if a read has failed since. Entries do not expire during shorter outages: servers
   * renew them every 1.5 s, and three intervals must pass in silence.
   */
  static final long FAILED_GAP_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * How much later the read that ends the retention is due if a peer's list is in force: the peer
   * usually sends the result of its own read before.
   */
  static final long ADOPTED_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * How much earlier a peer may have read the store than the contact that made this instance
   * uncertain. The times of both are rounded and include the delay of messages. A certain peer that
   * read the store then had read it before as well, so that an outage in between was too short for
   * entries to expire.
   */
  static final long CONTACT_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final DepartedServers departed = new DepartedServers();
  private Map<String, ServerEntry> current = Map.of();
  private boolean hasList;
  private boolean failing;
  private long failedNanos;
  private long lastConfirmedNanos;
  private long epoch;
  private boolean uncertain;
  private long uncertainSinceNanos;
  private long uncertainUntilNanos;

  /** Revision of the list that made this instance uncertain. */
  private Revision uncertainFrom = Revision.NONE;

  private boolean retaining;
  private boolean adoptedSince;
  private int retained;

  /** Records that a read failed that began at a time. */
  public void readFailed(long begunNanos) {
    failing = true;
    failedNanos = begunNanos;
  }

  /** Merges a read with the current servers and returns the list to use. */
  public ServerList reconcile(ServerList list, long nowNanos) {
    checkForOutage(list.revision(), nowNanos, nowNanos);
    if (uncertain && nowNanos - uncertainUntilNanos >= 0) {
      becomeCertain();
    }
    adoptedSince = false;
    lastConfirmedNanos = nowNanos;
    Map<String, ServerEntry> merged = new HashMap<>(list.servers());
    return use(list, merged, nowNanos);
  }

  /**
   * Evaluates what the list of a peer, which is not older than the one in force, says about the
   * store as of a time. Returns whether the list may be used.
   */
  public boolean accepts(ServerList list, long asOfNanos, long nowNanos) {
    Revision revision = list.revision();
    if (revision.exact()) {
      if (uncertain && observedSince(revision, asOfNanos)) {
        becomeCertain();
      }
      if (asOfNanos - failedNanos > 0) {
        failing = false;
      }
    } else {
      checkForOutage(revision, asOfNanos, nowNanos);
    }
    boolean accepted = revision.exact() || uncertain;
    if (accepted && asOfNanos - lastConfirmedNanos > 0) {
      lastConfirmedNanos = asOfNanos;
    }
    return accepted;
  }

  /** Adopts an accepted list of a peer that is newer than the one in force. */
  public ServerList adopt(ServerList list, long nowNanos) {
    epoch = list.revision().epoch();
    adoptedSince = true;
    Map<String, ServerEntry> merged = new HashMap<>(list.servers());
    retaining = !list.revision().exact();
    if (retaining) {
      removeDeparted(merged);
    }
    return use(list, merged, nowNanos);
  }

  /**
   * Whether entries that are missing from the list in force may belong to live servers, or entries
   * that it contains to departed ones.
   */
  public boolean uncertain() {
    return uncertain;
  }

  /** Returns how many entries that the last list did not contain were retained. */
  public int retained() {
    return retained;
  }

  /**
   * Returns the time until a read is due because entries must no longer be retained; empty while
   * this instance is certain. If the read were delayed until the next regular one, servers that
   * left during the outage would receive requests for that much longer.
   */
  public OptionalLong untilRetentionEndsNanos(long nowNanos) {
    if (!uncertain) {
      return OptionalLong.empty();
    }
    long due = uncertainUntilNanos + (adoptedSince ? ADOPTED_MARGIN_NANOS : 0);
    return OptionalLong.of(Math.max(0, due - nowNanos));
  }

  /**
   * Becomes uncertain if the store may have been unavailable before a contact with it. Also after a
   * start, since it is not known what happened before.
   */
  private void checkForOutage(Revision revision, long contactNanos, long nowNanos) {
    long gap = contactNanos - lastConfirmedNanos;
    boolean outage =
        revision.epoch() > epoch || gap > OUTAGE_GAP_NANOS || (failing && gap >= FAILED_GAP_NANOS);
    failing = false;
    epoch = Math.max(epoch, revision.epoch());
    if (hasList && !outage) {
      return;
    }
    retaining = hasList;
    uncertain = true;
    uncertainSinceNanos = contactNanos;
    uncertainUntilNanos = nowNanos + RETENTION_NANOS;
    uncertainFrom = revision;
  }

  /** Whether a peer has read the store since the contact that made this instance uncertain. */
  private boolean observedSince(Revision revision, long asOfNanos) {
    return uncertainFrom.precedes(revision)
        || asOfNanos - uncertainSinceNanos >= -CONTACT_TOLERANCE_NANOS;
  }

  private void becomeCertain() {
    uncertain = false;
    retaining = false;
  }

  private ServerList use(ServerList list, Map<String, ServerEntry> merged, long nowNanos) {
    keepLaterIncarnations(merged);
    if (retaining) {
      retainMissing(merged);
    }
    recordDepartures(merged, nowNanos);
    retained = Math.max(0, merged.size() - list.servers().size());
    current = Map.copyOf(merged);
    hasList = true;
    return new ServerList(uncertain ? list.revision().inexact() : list.revision(), current);
  }

  private void retainMissing(Map<String, ServerEntry> merged) {
    current.forEach(
        (id, entry) -> {
          if (!entry.draining()) {
            merged.putIfAbsent(id, entry);
          }
        });
  }

  /**
   * Keeps the entries of later incarnations. A stalled process may write its entry once more after
   * the server has restarted under the same id; accepting that entry would bring back the replaced
   * incarnation for the duration of a heartbeat.
   */
  private void keepLaterIncarnations(Map<String, ServerEntry> merged) {
    merged.replaceAll(
        (id, entry) -> {
          ServerEntry known = current.get(id);
          return known != null && known.replaces(entry) ? known : entry;
        });
  }

  /**
   * Removes from an uncertain peer's list what this instance knows to have left, and keeps servers
   * that it knows to be leaving as such: the peer may have missed both.
   */
  private void removeDeparted(Map<String, ServerEntry> merged) {
    merged.values().removeIf(entry -> !current.containsKey(entry.id()) && departed.contains(entry));
    merged.replaceAll(
        (id, entry) -> {
          ServerEntry known = current.get(id);
          return known != null && known.draining() && !entry.replaces(known) ? known : entry;
        });
  }

  private void recordDepartures(Map<String, ServerEntry> next, long nowNanos) {
    departed.removeExpired(nowNanos);
    current.forEach(
        (id, entry) -> {
          if (!next.containsKey(id)) {
            departed.record(entry, nowNanos);
          }
        });
  }
}
