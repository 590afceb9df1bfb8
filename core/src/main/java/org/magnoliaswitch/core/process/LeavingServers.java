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
 * Backend servers that leave, by whatever sign came first.
 *
 * <p>Each kind of sign keeps its own latest word, so that a server whose own report is silent
 * cannot undo what the platform's list says. A mark ends when the same kind of sign takes it back,
 * or when no first-hand sign has renewed it for a while; peers pass marks on without renewing them,
 * so that they cannot keep one alive among themselves.
 */
public final class LeavingServers {
  /** Longer than the time between first-hand signs of a server that goes on leaving. */
  private static final long MARK_MILLIS = 30_000;

  /** First-hand signs repeat what is known at most this often, so that news stays rare. */
  private static final long RENEW_MILLIS = 5_000;

  private static final int MAX_SPREAD = 12;

  private record Key(String server, Source sign) {}

  private final Clocks clocks;
  private final Map<Key, LeavingNotice> marks = new ConcurrentHashMap<>();

  public LeavingServers(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Notes a first-hand sign that a server leaves; true when it is news worth telling. */
  public boolean noticed(String server, Source sign) {
    return note(new LeavingNotice(server, sign, clocks.millis(), true));
  }

  /** Notes a first-hand sign that a server does not leave (any more); true when it is news. */
  public boolean returned(String server, Source sign) {
    LeavingNotice known = marks.get(new Key(server, sign));
    return known != null
        && known.leaving()
        && note(new LeavingNotice(server, sign, clocks.millis(), false));
  }

  /** Takes a mark from a peer; true when it changes what is known. */
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

  /** Whether the server must get no new work. */
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

  /** Servers that leave by one kind of sign. */
  public List<String> leavingBy(Source sign) {
    return marks.values().stream()
        .filter(mark -> mark.source() == sign && mark.leaving() && !expired(mark))
        .map(LeavingNotice::server)
        .toList();
  }

  /** The most recent marks, bounded. */
  public List<LeavingNotice> recent() {
    marks.values().removeIf(this::expired);
    List<LeavingNotice> recent = new ArrayList<>(marks.values());
    recent.sort(Comparator.comparingLong(LeavingNotice::atMillis).reversed());
    return recent.subList(0, Math.min(MAX_SPREAD, recent.size()));
  }

  private boolean note(LeavingNotice mark) {
    LeavingNotice known = marks.get(new Key(mark.server(), mark.source()));
    boolean fresh =
        known != null
            && known.leaving() == mark.leaving()
            && mark.atMillis() - known.atMillis() < RENEW_MILLIS;
    return !fresh && merge(mark);
  }

  private boolean expired(LeavingNotice mark) {
    return clocks.millis() - mark.atMillis() >= MARK_MILLIS;
  }
}
