package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Decides which backend servers exist from a series of reads, some of which fail.
 *
 * <p>While the store is away, entries of living servers lapse there, and right after its return a
 * read lists few or none. Believing it would leave no server to send to, so entries that are
 * missing then are kept until the living ones had time to come back; one still missing after that
 * is gone. In ordinary times a missing entry is gone at once.
 */
public final class DiscoveryReconciler {
  /** Entries of living servers are back within two seconds of the store's return. */
  static final long COME_BACK_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

  /** Reads further apart than this may hide an outage in which entries lapsed. */
  static final long OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private Map<String, ServerEntry> known = Map.of();
  private boolean read;
  private boolean failing;
  private long lastReadNanos;
  private long keepUntilNanos;
  private boolean keeping;
  private boolean toldSince;

  /** Notes that a read failed. */
  public void failed() {
    failing = true;
  }

  /** Takes what was read and returns what is to be believed. */
  public ServerList read(ServerList list, long nowNanos) {
    boolean outage = failing || nowNanos - lastReadNanos > OUTAGE_NANOS;
    if (read && outage) {
      keeping = true;
      keepUntilNanos = nowNanos + COME_BACK_NANOS;
    }
    if (keeping && nowNanos - keepUntilNanos >= 0) {
      keeping = false;
    }
    failing = false;
    toldSince = false;
    read = true;
    lastReadNanos = nowNanos;
    Map<String, ServerEntry> believed = new HashMap<>(list.servers());
    keepLaterIncarnations(believed);
    if (keeping) {
      known.forEach(
          (id, entry) -> {
            if (!entry.draining()) {
              believed.putIfAbsent(id, entry);
            }
          });
    }
    known = Map.copyOf(believed);
    // A quiet store gives the list without the kept entries under the same version later. It must
    // be
    // newer than this one, or servers that are gone would get requests until something else
    // changes.
    long version = keeping ? list.version() - 1 : list.version();
    return new ServerList(version, believed);
  }

  /**
   * Time until missing entries are kept no longer; absent while none are, or if a peer has told its
   * list since. A read is due then: put off to its usual time, a server that left meanwhile would
   * get requests for that much longer.
   */
  public OptionalLong untilReleaseNanos(long nowNanos) {
    return keeping && !toldSince
        ? OptionalLong.of(Math.max(0, keepUntilNanos - nowNanos))
        : OptionalLong.empty();
  }

  /**
   * A process that stood still while its server started again may write its entry once more. Taken
   * for the server's, it would bring back what the new process replaced, as long as a heartbeat.
   */
  private void keepLaterIncarnations(Map<String, ServerEntry> believed) {
    believed.replaceAll(
        (id, entry) -> {
          ServerEntry before = known.get(id);
          return before != null && before.replaces(entry) ? before : entry;
        });
  }

  /** Takes what a peer believes, which is as good as an own read. */
  public void adopt(ServerList list, long nowNanos) {
    known = list.servers();
    toldSince = true;
    read = true;
    failing = false;
    lastReadNanos = nowNanos;
  }
}
