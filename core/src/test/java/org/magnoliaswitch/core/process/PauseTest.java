package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests pauses that a server requests. */
public final class PauseTest {
  @Test
  public void isActiveUntilItsEnd() {
    Pause pause = Pause.NONE.extendedTo(100);
    assertTrue(pause.active(99));
    assertFalse(pause.active(100));
  }

  /** Guards against negative values of the monotonic clock, which must not end every pause. */
  @Test
  public void noneIsNeverActive() {
    assertFalse(Pause.NONE.active(-100));
    assertTrue(Pause.NONE.extendedTo(-50).active(-100));
  }

  /** Guards against a pause that is shortened by a later one with an earlier end. */
  @Test
  public void thePauseThatEndsLastApplies() {
    Pause pause = Pause.NONE.extendedTo(100);
    assertEquals(pause.extendedTo(90), pause);
    assertEquals(pause.extendedTo(110), new Pause(110, true));
  }
}
