package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Decides which backend servers exist from a series of discovery reads, some of which fail.
 *
 * <p>While the store is unavailable, entries of live servers expire, and right after its recovery a
 * read lists few servers or none. Trusting that read would leave no server to send to, so missing
 * entries are retained until live servers have had time to register again; an entry that is still
 * missing then is dropped. The same holds after the store has been restored from a copy, which
 * lacks the entries of servers that have registered since. Missing entries of draining servers are
 * not retained. Outside of outages a missing entry is dropped at once.
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

  private Map<String, ServerEntry> current = Map.of();
  private boolean hasRead;
  private boolean failing;
  private long failedNanos;
  private long lastConfirmedNanos;
  private long retainUntilNanos;
  private long epoch;
  private boolean retaining;
  private boolean adoptedSince;
  private int retained;

  /** Records that a read failed that began at a time. */
  public void readFailed(long begunNanos) {
    failing = true;
    failedNanos = begunNanos;
  }

  /**
   * Records that a peer has confirmed the list in force as of a time: the store was available to
   * the peer, so a failure before that time and the time since the last own read hide no outage.
   */
  public void confirmed(long asOfNanos) {
    if (asOfNanos - lastConfirmedNanos > 0) {
      lastConfirmedNanos = asOfNanos;
    }
    if (asOfNanos - failedNanos > 0) {
      failing = false;
    }
  }

  /** Merges a read with the current servers and returns the list to use. */
  public ServerList reconcile(ServerList list, long nowNanos) {
    boolean outage =
        failing
            || list.revision().epoch() > epoch
            || nowNanos - lastConfirmedNanos > OUTAGE_GAP_NANOS;
    epoch = list.revision().epoch();
    if (hasRead && outage) {
      retaining = true;
      retainUntilNanos = nowNanos + RETENTION_NANOS;
    }
    if (retaining && nowNanos - retainUntilNanos >= 0) {
      retaining = false;
    }
    failing = false;
    adoptedSince = false;
    hasRead = true;
    lastConfirmedNanos = nowNanos;
    Map<String, ServerEntry> merged = new HashMap<>(list.servers());
    keepLaterIncarnations(merged);
    if (retaining) {
      current.forEach(
          (id, entry) -> {
            if (!entry.draining()) {
              merged.putIfAbsent(id, entry);
            }
          });
    }
    current = Map.copyOf(merged);
    retained = merged.size() - list.servers().size();
    return new ServerList(retaining ? list.revision().inexact() : list.revision(), merged);
  }

  /** Returns how many entries that the last read did not contain were retained. */
  public int retained() {
    return retained;
  }

  /**
   * Returns the time until missing entries are no longer retained; empty while none are retained or
   * if a peer's list has been adopted since. A read is due at that time. If it were delayed until
   * the next regular read, servers that left during the outage would receive requests for that much
   * longer.
   */
  public OptionalLong untilRetentionEndsNanos(long nowNanos) {
    return retaining && !adoptedSince
        ? OptionalLong.of(Math.max(0, retainUntilNanos - nowNanos))
        : OptionalLong.empty();
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
   * Adopts the list of a peer. If the peer retains entries after an outage, an own read within the
   * same time must not drop them.
   */
  public void adopt(ServerList list, long nowNanos) {
    boolean retainedByPeer = !list.revision().exact();
    if (retainedByPeer && !retaining) {
      retainUntilNanos = nowNanos + RETENTION_NANOS;
    }
    retaining = retainedByPeer;
    epoch = list.revision().epoch();
    current = list.servers();
    adoptedSince = true;
    hasRead = true;
  }
}
