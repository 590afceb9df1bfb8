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
 * Backend servers that are leaving according to any kind of sign.
 *
 * <p>Each kind of sign has its own latest mark, so that a server whose own report says nothing
 * cannot override the platform's list. A mark ends when the same kind of sign revokes it, or when
 * no first-hand sign has renewed it within its lifetime; peers forward marks without renewing them,
 * so that they cannot keep a mark alive among themselves.
 */
public final class LeavingServers {
  /** Longer than the time between two first-hand signs of a server that continues to leave. */
  private static final long MARK_LIFETIME_MILLIS = 30_000;

  /** Minimum time between two renewals of a mark by first-hand signs, which keeps updates rare. */
  private static final long RENEWAL_MILLIS = 5_000;

  private static final int MAX_MARKS_PER_MESSAGE = 12;

  private record Key(String server, Source sign) {}

  private final Clocks clocks;
  private final Map<Key, LeavingNotice> marks = new ConcurrentHashMap<>();

  public LeavingServers(Clocks clocks) {
    this.clocks = clocks;
  }

  /**
   * Records a first-hand sign that a server is leaving; returns whether peers should be informed.
   */
  public boolean markLeaving(String server, Source sign) {
    return recordFirstHand(new LeavingNotice(server, sign, clocks.millis(), true));
  }

  /**
   * Records a first-hand sign that a server is not leaving, or no longer; returns whether peers
   * should be informed.
   */
  public boolean markReturned(String server, Source sign) {
    LeavingNotice known = marks.get(new Key(server, sign));
    return known != null
        && known.leaving()
        && recordFirstHand(new LeavingNotice(server, sign, clocks.millis(), false));
  }

  /**
   * Merges a mark from a peer; returns whether it changes whether the server is leaving by its kind
   * of sign.
   */
  public boolean merge(LeavingNotice mark) {
    if (expired(mark)) {
      return false;
    }
    LeavingNotice[] before = new LeavingNotice[1];
    LeavingNotice after =
        marks.merge(
            new Key(mark.server(), mark.source()),
            mark,
            (old, fresh) -> {
              before[0] = old;
              return fresh.atMillis() > old.atMillis() ? fresh : old;
            });
    boolean leftBefore = before[0] != null && before[0].leaving() && !expired(before[0]);
    return after.leaving() != leftBefore;
  }

  /** Returns whether the server is leaving and must get no new requests. */
  public boolean leaving(String server) {
    if (marks.isEmpty()) {
      return false;
    }
    for (Source sign : Source.values()) {
      LeavingNotice mark = marks.get(new Key(server, sign));
      if (mark != null && mark.leaving() && !expired(mark)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the servers that are leaving by one kind of sign. */
  public List<String> leavingBy(Source sign) {
    return marks.values().stream()
        .filter(mark -> mark.source() == sign && mark.leaving() && !expired(mark))
        .map(LeavingNotice::server)
        .toList();
  }

  /** Returns the most recent marks, as many as fit into a message. */
  public List<LeavingNotice> recent() {
    marks.values().removeIf(this::expired);
    List<LeavingNotice> recent = new ArrayList<>(marks.values());
    recent.sort(Comparator.comparingLong(LeavingNotice::atMillis).reversed());
    return recent.subList(0, Math.min(MAX_MARKS_PER_MESSAGE, recent.size()));
  }

  private boolean recordFirstHand(LeavingNotice mark) {
    LeavingNotice known = marks.get(new Key(mark.server(), mark.source()));
    boolean renewed =
        known != null
            && known.leaving() == mark.leaving()
            && mark.atMillis() - known.atMillis() < RENEWAL_MILLIS;
    return !renewed && merge(mark);
  }

  private boolean expired(LeavingNotice mark) {
    return clocks.millis() - mark.atMillis() >= MARK_LIFETIME_MILLIS;
  }
}
