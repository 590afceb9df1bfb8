package org.magnoliaswitch.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.peer.LeavingMark;
import org.magnoliaswitch.core.peer.LeavingMark.Sign;

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
  private static final long MARK_LIFETIME_MILLIS = 30_000;

  /** First-hand signs repeat what is known at most this often, so that news stays rare. */
  private static final long RENEWAL_MILLIS = 5_000;

  private static final int MAX_MARKS_PER_MESSAGE = 12;

  private record Key(String server, Sign sign) {}

  private final Clocks clocks;
  private final Map<Key, LeavingMark> marks = new ConcurrentHashMap<>();

  public LeavingServers(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Notes a first-hand sign that a server leaves; true when it is news worth telling. */
  public boolean markLeaving(String server, Sign sign) {
    return recordFirstHand(new LeavingMark(server, sign, clocks.millis(), true));
  }

  /** Notes a first-hand sign that a server does not leave (any more); true when it is news. */
  public boolean markReturned(String server, Sign sign) {
    LeavingMark known = marks.get(new Key(server, sign));
    return known != null
        && known.leaving()
        && recordFirstHand(new LeavingMark(server, sign, clocks.millis(), false));
  }

  /** Takes a mark from a peer; true when it changes what is known. */
  public boolean merge(LeavingMark mark) {
    if (expired(mark)) {
      return false;
    }
    LeavingMark[] before = new LeavingMark[1];
    LeavingMark after =
        marks.merge(
            new Key(mark.server(), mark.sign()),
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
    for (Sign sign : Sign.values()) {
      LeavingMark mark = marks.get(new Key(server, sign));
      if (mark != null && mark.leaving() && !expired(mark)) {
        return true;
      }
    }
    return false;
  }

  /** Servers that leave by one kind of sign. */
  public List<String> leavingBy(Sign sign) {
    return marks.values().stream()
        .filter(mark -> mark.sign() == sign && mark.leaving() && !expired(mark))
        .map(LeavingMark::server)
        .toList();
  }

  /** The most recent marks, bounded. */
  public List<LeavingMark> recent() {
    marks.values().removeIf(this::expired);
    List<LeavingMark> recent = new ArrayList<>(marks.values());
    recent.sort(Comparator.comparingLong(LeavingMark::atMillis).reversed());
    return recent.subList(0, Math.min(MAX_MARKS_PER_MESSAGE, recent.size()));
  }

  private boolean recordFirstHand(LeavingMark mark) {
    LeavingMark known = marks.get(new Key(mark.server(), mark.sign()));
    boolean fresh =
        known != null
            && known.leaving() == mark.leaving()
            && mark.atMillis() - known.atMillis() < RENEWAL_MILLIS;
    return !fresh && merge(mark);
  }

  private boolean expired(LeavingMark mark) {
    return clocks.millis() - mark.atMillis() >= MARK_LIFETIME_MILLIS;
  }
}
