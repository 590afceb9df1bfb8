package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.magnoliaswitch.front.version.ServerEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How the budget of questions to a server is shared. */
public final class ProbeShareTest {
  private static final double BUDGET = 42;

  /** Instances and servers of deployments of several sizes. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1, 4}, {17, 19}, {99, 33}, {99, 129}, {129, 192}, {300, 400}};
  }

  /** Too many questions take capacity from callers: no server may get more than its budget. */
  @Test(dataProvider = "sizes")
  public void noServerIsAskedMoreThanItsBudget(int instances, int count) {
    List<ServerEntry> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(new ServerEntry("i-" + i, 0, "s", "127.0.0.1", 1, "dc-" + i % 3, 6, false, 0));
    }
    Map<String, Double> asked = new HashMap<>();
    for (int instance = 0; instance < instances; instance++) {
      List<ServerEntry> used =
          ServerSubset.select(
              servers,
              ServerSubset.size(count, instances),
              Function.identity(),
              "front-" + instance,
              "dc-" + instance % 3);
      double part = used.size() / (double) count;
      double each = ProbeShare.perSecond(BUDGET, instances, part);
      used.forEach(server -> asked.merge(server.id(), each, Double::sum));
    }
    double most = asked.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
    assertTrue(most <= BUDGET, most + " questions a second");
  }

  /**
   * With all instances as sharers a question in many seconds is left: most sends would go blind.
   */
  @Test
  public void aPartOfALargeServiceCanBeAskedOften() {
    double all = ProbeShare.perSecond(BUDGET, 129, 1);
    double part = ProbeShare.perSecond(BUDGET, 129, 16 / 192.0);
    assertTrue(part > 5 * all, all + " to " + part);
  }
}
