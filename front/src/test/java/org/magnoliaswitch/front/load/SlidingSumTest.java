package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests sums over the window that ends now. */
public final class SlidingSumTest {
  @Test
  public void valuesCountUntilTheyHaveLeftTheWindow() {
    SlidingSum values = new SlidingSum(1_000);
    values.add(3, 0);
    values.add(2, 600);
    assertEquals(values.largest(999), 5, 1e-9);
    assertEquals(values.largest(1_100), 2, 1e-9);
    assertEquals(values.largest(1_700), 0, 1e-9);
  }

  /** Guards against a value that was put back long ago and makes room for others twice. */
  @Test
  public void shorterSpansCountByThemselves() {
    SlidingSum sum = new SlidingSum(1_000);
    sum.add(-4, 0);
    sum.add(5, 500);
    assertEquals(sum.largest(600), 5, 1e-9);
  }
}
