package org.magnoliaswitch.front.peer;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests that slow listeners are told apart from listeners that do not read. */
public final class StallDetectorTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Guards against disconnecting a listener on a slow link, which then is sent all state again. */
  @Test
  public void slowListenerIsNotStalled() {
    StallDetector detector = new StallDetector();
    for (int second = 0; second < 60; second++) {
      assertFalse(detector.stalled(1_000 - second, second * SECOND));
    }
  }

  @Test
  public void listenerThatDoesNotReadIsStalled() {
    StallDetector detector = new StallDetector();
    assertFalse(detector.stalled(1_000, SECOND));
    assertFalse(detector.stalled(1_000, 4 * SECOND));
    assertTrue(detector.stalled(1_000, 4 * SECOND + 1));
  }

  @Test
  public void resetStartsANewMeasurement() {
    StallDetector detector = new StallDetector();
    assertFalse(detector.stalled(10, 0));
    detector.reset();
    assertFalse(detector.stalled(1_000, 9 * SECOND));
  }
}
