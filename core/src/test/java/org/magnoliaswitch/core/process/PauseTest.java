package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Pauses that a server asks for. */
public final class PauseTest {
  @Test
  public void isActiveUntilItsEnd() {
    Pause pause = Pause.NONE.extendedTo(100);
    assertTrue(pause.active(99));
    assertFalse(pause.active(100));
  }

  /** Guards against a monotonic clock below zero, at which no pause would seem to last. */
  @Test
  public void noneIsNeverActive() {
    assertFalse(Pause.NONE.active(-100));
    assertTrue(Pause.NONE.extendedTo(-50).active(-100));
  }

  /** Guards against a pause that a later and shorter one cuts short. */
  @Test
  public void theOneThatEndsLastCounts() {
    Pause pause = Pause.NONE.extendedTo(100);
    assertEquals(pause.extendedTo(90), pause);
    assertEquals(pause.extendedTo(110), new Pause(110, true));
  }
}
