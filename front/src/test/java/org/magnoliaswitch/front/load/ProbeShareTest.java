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

/** Tests how the probe budget of a server is divided. */
public final class ProbeShareTest {
  private static final double BUDGET = 42;

  /** Numbers of instances and servers in deployments of several sizes. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1, 4}, {17, 19}, {99, 33}, {99, 129}, {129, 192}, {300, 400}};
  }

  /** Probes take capacity from callers: no server may be probed beyond its budget. */
  @Test(dataProvider = "sizes")
  public void noServerIsProbedBeyondItsBudget(int instances, int count) {
    List<ServerEntry> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(new ServerEntry("i-" + i, 0, "s", "127.0.0.1", 1, "dc-" + i % 3, 6, false, 0));
    }
    Map<String, Double> probes = new HashMap<>();
    for (int instance = 0; instance < instances; instance++) {
      List<ServerEntry> subset =
          ServerSubset.select(
              servers,
              ServerSubset.size(count, instances),
              Function.identity(),
              "front-" + instance,
              "dc-" + instance % 3);
      double subsetShare = subset.size() / (double) count;
      double perInstance = ProbeShare.perSecond(BUDGET, instances, subsetShare);
      subset.forEach(server -> probes.merge(server.id(), perInstance, Double::sum));
    }
    double max = probes.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
    assertTrue(max <= BUDGET, max + " probes per second");
  }

  /**
   * Guards against dividing the budget among all instances, which leaves one probe in many seconds
   * and places most requests without recent load information.
   */
  @Test
  public void aSubsetOfALargeServiceCanBeProbedOften() {
    double all = ProbeShare.perSecond(BUDGET, 129, 1);
    double subset = ProbeShare.perSecond(BUDGET, 129, 16 / 192.0);
    assertTrue(subset > 5 * all, all + " to " + subset);
  }
}
