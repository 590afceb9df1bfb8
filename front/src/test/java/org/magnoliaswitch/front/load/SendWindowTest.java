package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Sends of the last moments. */
public final class SendWindowTest {
  private static final long KEPT = 100;
  private static final long SPAN = 40;

  private SendWindow window;

  /** Sends at 0, 30 and 60. */
  @BeforeMethod
  public void send() {
    window = new SendWindow(KEPT);
    window.add(0);
    window.add(30);
    window.add(60);
  }

  @Test
  public void countsWhatTheSpanHolds() {
    assertEquals(window.size(SPAN, 60), 2);
    assertEquals(window.size(KEPT, 60), 3);
    assertEquals(window.size(SPAN, 101), 0);
    assertEquals(window.size(KEPT, 101), 2);
  }

  @Test
  public void tellsWhenTheSpanHoldsFewer() {
    assertEquals(window.untilFewerThan(3, SPAN, 60), 0);
    assertEquals(window.untilFewerThan(2, SPAN, 60), 11);
    assertEquals(window.untilFewerThan(1, SPAN, 60), 41);
    assertEquals(window.untilFewerThan(1, SPAN, 101), 0);
    assertEquals(window.untilFewerThan(4, KEPT, 60), 0);
  }
}
