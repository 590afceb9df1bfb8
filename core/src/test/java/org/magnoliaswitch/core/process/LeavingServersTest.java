package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.magnoliaswitch.core.peer.LeavingMark;
import org.magnoliaswitch.core.testing.ManualClock;
import org.testng.annotations.Test;

/** Signs that a backend server leaves. */
public final class LeavingServersTest {
  private final ManualClock time = new ManualClock();
  private final LeavingServers leaving = new LeavingServers(time.clocks());

  @Test
  public void theFirstSignIsNews() {
    assertTrue(leaving.noticed("a"));
    assertFalse(leaving.noticed("a"));
  }

  /**
   * Two instances tell each other of a departure for ever. If each told it anew, a server that came
   * back would never get work again; so only the first time of notice counts.
   */
  @Test
  public void peersCannotKeepAMarkAlive() {
    LeavingMark mark = new LeavingMark("b", time.millis());
    for (int i = 0; i < 40; i++) {
      leaving.merge(mark);
      time.advance(Duration.ofSeconds(1));
    }
    assertFalse(leaving.leaving("b"));
  }

  @Test
  public void spreadsABoundedNumberOfMarks() {
    for (int i = 0; i < 100; i++) {
      leaving.noticed("server-" + i);
    }
    assertEquals(leaving.recent().size(), 12);
  }
}
