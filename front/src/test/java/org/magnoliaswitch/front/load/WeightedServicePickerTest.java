package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.version.WeightedService;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How a route's requests are divided among its services. */
public final class WeightedServicePickerTest {
  @DataProvider
  public Object[][] weights() {
    return new Object[][] {{50, 50}, {90, 10}, {1, 3}, {99, 1}};
  }

  /**
   * Seventeen instances see eighteen requests each. If all began at the same place, the small part
   * would get none or twice its share of the three hundred.
   */
  @Test(dataProvider = "weights")
  public void manyInstancesWithFewRequestsKeepTheShares(int first, int second) {
    RandomGenerator random = new java.util.Random(3);
    List<WeightedService> parts =
        List.of(new WeightedService("a", first), new WeightedService("b", second));
    int toFirst = 0;
    for (int instance = 0; instance < 17; instance++) {
      WeightedServicePicker picker = new WeightedServicePicker(random.nextDouble());
      for (int i = 0; i < 18; i++) {
        toFirst += picker.next(parts).equals("a") ? 1 : 0;
      }
    }
    assertEquals(toFirst / 306.0, first / (double) (first + second), 0.04);
  }
}
