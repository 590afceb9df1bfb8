package org.magnoliaswitch.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.peer.LeavingNotice;
import org.magnoliaswitch.core.peer.LeavingNotice.Source;

/**
 * Backend servers that are leaving according to any source.
 *
 * <p>The latest notice of each source is kept, so that a server whose own report says nothing
 * cannot override the platform's list. A notice ends when the same source revokes it, or when the
 * source has not renewed it within its lifetime; peers forward notices without renewing them, so
 * that they cannot keep a notice alive among themselves.
 */
public final class LeavingServers {
  /**
   * Longer than the time between two notices from a source about a server that continues to leave.
   * A notice of an operator expires after this time, too, unless the operator repeats it.
   */
  private static final long NOTICE_LIFETIME_MILLIS = 30_000;

  /** Minimum time between two renewals of a notice by its source, which keeps updates rare. */
  private static final long RENEWAL_MILLIS = 5_000;

  private static final int MAX_NOTICES_PER_MESSAGE = 12;

  private record Key(String server, Source source) {}

  private final Clocks clocks;
  private final Map<Key, LeavingNotice> notices = new ConcurrentHashMap<>();

  public LeavingServers(Clocks clocks) {
    this.clocks = clocks;
  }

  /**
   * Records a notice, received directly from a source, that a server is leaving; returns whether
   * peers should be informed.
   */
  public boolean markLeaving(String server, Source source) {
    return recordDirect(new LeavingNotice(server, source, clocks.millis(), true));
  }

  /**
   * Records a notice, received directly from a source, that a server is not leaving or no longer;
   * returns whether peers should be informed.
   */
  public boolean markReturned(String server, Source source) {
    LeavingNotice known = notices.get(new Key(server, source));
    return known != null
        && known.leaving()
        && recordDirect(new LeavingNotice(server, source, clocks.millis(), false));
  }

  /**
   * Merges a notice from a peer; returns whether it changes whether the server is leaving according
   * to the source.
   */
  public boolean merge(LeavingNotice notice) {
    if (expired(notice)) {
      return false;
    }
    LeavingNotice[] before = new LeavingNotice[1];
    LeavingNotice after =
        notices.merge(
            new Key(notice.server(), notice.source()),
            notice,
            (old, fresh) -> {
              before[0] = old;
              return fresh.atMillis() > old.atMillis() ? fresh : old;
            });
    boolean leftBefore = before[0] != null && before[0].leaving() && !expired(before[0]);
    return after.leaving() != leftBefore;
  }

  /** Returns whether the server is leaving and must get no new requests. */
  public boolean leaving(String server) {
    if (notices.isEmpty()) {
      return false;
    }
    for (Source source : Source.values()) {
      LeavingNotice notice = notices.get(new Key(server, source));
      if (notice != null && notice.leaving() && !expired(notice)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the servers that are leaving according to one source. */
  public List<String> leavingBy(Source source) {
    return notices.values().stream()
        .filter(notice -> notice.source() == source && notice.leaving() && !expired(notice))
        .map(LeavingNotice::server)
        .toList();
  }

  /** Returns the most recent notices, as many as fit into a message. */
  public List<LeavingNotice> recent() {
    notices.values().removeIf(this::expired);
    List<LeavingNotice> recent = new ArrayList<>(notices.values());
    recent.sort(Comparator.comparingLong(LeavingNotice::atMillis).reversed());
    return recent.subList(0, Math.min(MAX_NOTICES_PER_MESSAGE, recent.size()));
  }

  private boolean recordDirect(LeavingNotice notice) {
    LeavingNotice known = notices.get(new Key(notice.server(), notice.source()));
    boolean renewed =
        known != null
            && known.leaving() == notice.leaving()
            && notice.atMillis() - known.atMillis() < RENEWAL_MILLIS;
    return !renewed && merge(notice);
  }

  private boolean expired(LeavingNotice notice) {
    return clocks.millis() - notice.atMillis() >= NOTICE_LIFETIME_MILLIS;
  }
}
