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

/** Tests the notices that a backend server is leaving. */
public final class LeavingServersTest {
  private ManualClock time = new ManualClock();
  private LeavingServers leaving = new LeavingServers(time.clocks());

  @BeforeMethod
  public void setUp() {
    time = new ManualClock();
    leaving = new LeavingServers(time.clocks());
  }

  @Test
  public void onlyTheFirstNoticeIsPublished() {
    assertTrue(leaving.markLeaving("a", Source.REPORT));
    assertFalse(leaving.markLeaving("a", Source.REPORT));
  }

  /**
   * Two instances keep sending each other the notice about a leaving server. If each of them
   * renewed it, a server that returned would never get requests again; so only the time counts at
   * which the notice came from its source.
   */
  @Test
  public void peersCannotKeepANoticeAlive() {
    LeavingNotice notice = new LeavingNotice("b", Source.REPORT, time.millis(), true);
    for (int i = 0; i < 40; i++) {
      leaving.merge(notice);
      time.advance(Duration.ofSeconds(1));
    }
    assertFalse(leaving.leaving("b"));
  }

  /**
   * A server is replaced within a few seconds and returns. If notices only expired, five of eight
   * servers would get no requests during a rolling replacement, and callers would be rejected.
   */
  @Test
  public void aServerThatReturnsGetsRequestsAgain() {
    leaving.markLeaving("c", Source.REPORT);
    time.advance(Duration.ofSeconds(1));
    assertTrue(leaving.markReturned("c", Source.REPORT));
    assertFalse(leaving.leaving("c"));
  }

  @Test
  public void theServersOwnReportDoesNotOverrideTheList() {
    leaving.markLeaving("d", Source.LIST);
    time.advance(Duration.ofSeconds(1));
    leaving.markReturned("d", Source.REPORT);
    assertTrue(leaving.leaving("d"));
  }

  /** An old notice that the server is leaving arrives after the notice of its return. */
  @Test
  public void theLatestNoticeWinsInAnyOrder() {
    leaving.merge(new LeavingNotice("e", Source.REPORT, time.millis() + 5, false));
    leaving.merge(new LeavingNotice("e", Source.REPORT, time.millis(), true));
    assertFalse(leaving.leaving("e"));
  }

  @Test
  public void limitsTheNoticesPerMessage() {
    for (int i = 0; i < 100; i++) {
      leaving.markLeaving("server-" + i, Source.LIST);
    }
    assertEquals(leaving.recent().size(), 12);
  }
}
