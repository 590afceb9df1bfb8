package org.magnoliaswitch.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.peer.LeavingMark;

/**
 * Backend servers noticed to leave, by whatever sign came first.
 *
 * <p>A mark lasts for a while only, since a server may come back under the same id; while the sign
 * goes on, the mark is renewed. News of the same departure is passed on but not renewed by peers,
 * so that instances cannot keep a mark alive among themselves.
 */
public final class LeavingServers {
  /** Longer than a server takes to stop, shorter than an operator waits for it to come back. */
  private static final long MARK_MILLIS = 30_000;

  private static final int MAX_SPREAD = 12;

  private final Clocks clocks;
  private final Map<String, Long> marks = new ConcurrentHashMap<>();

  public LeavingServers(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Notes a first-hand sign; true when it is news. */
  public boolean noticed(String server) {
    return merge(new LeavingMark(server, clocks.millis()));
  }

  /** Takes a mark from a peer; true when the server did not count as leaving before. */
  public boolean merge(LeavingMark mark) {
    if (expired(mark.atMillis())) {
      return false;
    }
    boolean news = !leaving(mark.server());
    marks.merge(mark.server(), mark.atMillis(), Math::max);
    return news;
  }

  /** Forgets a mark, for a server that an operator has put back. */
  public void clear(String server) {
    marks.remove(server);
  }

  /** Whether the server must get no new work. */
  public boolean leaving(String server) {
    Long at = marks.get(server);
    return at != null && !expired(at);
  }

  /** The most recent marks, bounded. */
  public List<LeavingMark> recent() {
    List<LeavingMark> recent = new ArrayList<>();
    marks.forEach((server, at) -> recent.add(new LeavingMark(server, at)));
    recent.removeIf(mark -> expired(mark.atMillis()));
    recent.sort(Comparator.comparingLong(LeavingMark::atMillis).reversed());
    return recent.subList(0, Math.min(MAX_SPREAD, recent.size()));
  }

  private boolean expired(long atMillis) {
    return clocks.millis() - atMillis >= MARK_MILLIS;
  }
}
