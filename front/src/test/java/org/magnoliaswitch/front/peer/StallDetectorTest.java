package org.magnoliaswitch.front.peer;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Slow listeners and those that do not read. */
public final class StallDetectorTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Guards against a listener on a narrow link that is disconnected and sent all once more. */
  @Test
  public void whoReadsSlowlyIsNotStalled() {
    StallDetector watch = new StallDetector();
    for (int second = 0; second < 60; second++) {
      assertFalse(watch.stalled(1_000 - second, second * SECOND));
    }
  }

  @Test
  public void whoDoesNotReadIsStalled() {
    StallDetector watch = new StallDetector();
    assertFalse(watch.stalled(1_000, SECOND));
    assertFalse(watch.stalled(1_000, 4 * SECOND));
    assertTrue(watch.stalled(1_000, 4 * SECOND + 1));
  }

  @Test
  public void aLaterBacklogIsJudgedByItself() {
    StallDetector watch = new StallDetector();
    assertFalse(watch.stalled(10, 0));
    watch.reset();
    assertFalse(watch.stalled(1_000, 9 * SECOND));
  }
}
