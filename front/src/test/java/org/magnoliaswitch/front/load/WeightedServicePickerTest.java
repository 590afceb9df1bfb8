package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.version.WeightedService;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how a route's requests are distributed among its services. */
public final class WeightedServicePickerTest {
  @DataProvider
  public Object[][] weights() {
    return new Object[][] {{50, 50}, {90, 10}, {1, 3}, {99, 1}};
  }

  /**
   * Guards against a skewed overall distribution: seventeen instances receive eighteen requests
   * each, about three hundred in total. If all of them started at the same position, the service
   * with the small weight would get none or twice its share.
   */
  @Test(dataProvider = "weights")
  public void manyInstancesWithFewRequestsKeepTheWeights(int first, int second) {
    RandomGenerator random = new java.util.Random(3);
    List<WeightedService> services =
        List.of(new WeightedService("a", first), new WeightedService("b", second));
    int toFirst = 0;
    for (int instance = 0; instance < 17; instance++) {
      WeightedServicePicker picker = new WeightedServicePicker(random.nextDouble());
      for (int i = 0; i < 18; i++) {
        toFirst += picker.next(services).equals("a") ? 1 : 0;
      }
    }
    assertEquals(toFirst / 306.0, first / (double) (first + second), 0.04);
  }
}
