package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.magnoliaswitch.core.peer.LeavingNotice;
import org.magnoliaswitch.core.peer.LeavingNotice.Source;
import org.magnoliaswitch.core.testing.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Signs that a backend server leaves. */
public final class LeavingServersTest {
  private ManualClock time = new ManualClock();
  private LeavingServers leaving = new LeavingServers(time.clocks());

  @BeforeMethod
  public void fresh() {
    time = new ManualClock();
    leaving = new LeavingServers(time.clocks());
  }

  @Test
  public void theFirstSignIsNews() {
    assertTrue(leaving.noticed("a", Source.REPORT));
    assertFalse(leaving.noticed("a", Source.REPORT));
  }

  /**
   * Two instances tell each other of a departure for ever. If each told it anew, a server that came
   * back would never get work again; so only the first time of notice counts.
   */
  @Test
  public void peersCannotKeepAMarkAlive() {
    LeavingNotice mark = new LeavingNotice("b", Source.REPORT, time.millis(), true);
    for (int i = 0; i < 40; i++) {
      leaving.merge(mark);
      time.advance(Duration.ofSeconds(1));
    }
    assertFalse(leaving.leaving("b"));
  }

  /**
   * A server is replaced in a few seconds and comes back. Marks that only ran out kept five of
   * eight servers without work in the drain experiment, and callers were refused.
   */
  @Test
  public void aServerThatComesBackGetsWorkAgain() {
    leaving.noticed("c", Source.REPORT);
    time.advance(Duration.ofSeconds(1));
    assertTrue(leaving.returned("c", Source.REPORT));
    assertFalse(leaving.leaving("c"));
  }

  @Test
  public void theServersOwnWordDoesNotUndoTheList() {
    leaving.noticed("d", Source.LIST);
    time.advance(Duration.ofSeconds(1));
    leaving.returned("d", Source.REPORT);
    assertTrue(leaving.leaving("d"));
  }

  /** Old news of a departure arrives after news of the return. */
  @Test
  public void laterNewsWinsWhateverTheOrder() {
    leaving.merge(new LeavingNotice("e", Source.REPORT, time.millis() + 5, false));
    leaving.merge(new LeavingNotice("e", Source.REPORT, time.millis(), true));
    assertFalse(leaving.leaving("e"));
  }

  @Test
  public void spreadsABoundedNumberOfMarks() {
    for (int i = 0; i < 100; i++) {
      leaving.noticed("server-" + i, Source.LIST);
    }
    assertEquals(leaving.recent().size(), 12);
  }
}
