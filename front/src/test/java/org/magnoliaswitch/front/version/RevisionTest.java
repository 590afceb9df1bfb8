package org.magnoliaswitch.front.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests which of two states of a source counts as newer. */
public final class RevisionTest {
  @Test
  public void epochComesBeforeVersionAndVersionBeforeExactness() {
    List<Revision> ascending =
        List.of(
            Revision.NONE,
            Revision.of(0, 0),
            Revision.of(0, 9).inexact(),
            Revision.of(0, 9),
            Revision.of(0, 10).inexact(),
            Revision.of(1, 2),
            Revision.of(1, 10),
            Revision.of(2, 0).inexact());
    assertEquals(ascending.stream().sorted().toList(), ascending);
    for (int i = 1; i < ascending.size(); i++) {
      assertTrue(ascending.get(i).newerThan(ascending.get(i - 1)));
      assertFalse(ascending.get(i - 1).newerThan(ascending.get(i)));
    }
  }

  @Test
  public void retainedEntriesDoNotChangeTheVersionOfTheSource() {
    assertFalse(Revision.of(1, 9).inexact().precedes(Revision.of(1, 9)));
    assertTrue(Revision.of(1, 9).precedes(Revision.of(1, 10).inexact()));
    assertTrue(Revision.of(1, 9).precedes(Revision.of(2, 3)));
  }

  @Test
  public void negativeNumbersAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> Revision.of(-1, 0));
    assertThrows(IllegalArgumentException.class, () -> Revision.of(0, -1));
  }
}
