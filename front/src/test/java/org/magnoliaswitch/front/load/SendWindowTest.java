package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the sliding window over recent requests. */
public final class SendWindowTest {
  private static final long RETENTION = 100;
  private static final long SPAN = 40;

  private SendWindow window;

  /** Adds requests at 0, 30 and 60. */
  @BeforeMethod
  public void addRequests() {
    window = new SendWindow(RETENTION);
    window.add(0);
    window.add(30);
    window.add(60);
  }

  @Test
  public void countsTheRequestsInASpan() {
    assertEquals(window.count(SPAN, 60), 2);
    assertEquals(window.count(RETENTION, 60), 3);
    assertEquals(window.count(SPAN, 101), 0);
    assertEquals(window.count(RETENTION, 101), 2);
  }

  @Test
  public void computesTheTimeUntilASpanContainsFewer() {
    assertEquals(window.nanosUntilFewerThan(3, SPAN, 60), 0);
    assertEquals(window.nanosUntilFewerThan(2, SPAN, 60), 11);
    assertEquals(window.nanosUntilFewerThan(1, SPAN, 60), 41);
    assertEquals(window.nanosUntilFewerThan(1, SPAN, 101), 0);
    assertEquals(window.nanosUntilFewerThan(4, RETENTION, 60), 0);
  }
}
