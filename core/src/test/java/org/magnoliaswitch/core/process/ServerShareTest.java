package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.version.BackendServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the distribution of servers among instances. */
public final class ServerShareTest {
  @DataProvider
  public static Object[][] sizes() {
    return new Object[][] {{6, 18}, {20, 18}, {25, 100}, {25, 250}, {400, 250}, {1600, 300}};
  }

  @Test(dataProvider = "sizes")
  public void coversServersEvenly(int servers, int instances) {
    Map<String, Integer> instancesPerServer = instancesPerServer(servers, instances);
    int max = instancesPerServer.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    int min = instancesPerServer.values().stream().mapToInt(Integer::intValue).min().orElseThrow();
    assertEquals(instancesPerServer.size(), servers);
    assertTrue(max - min <= 2, min + " to " + max);
  }

  /**
   * If the number of instances doubles during a replacement, the connections of all instances
   * together must fit into the 250 of a server.
   */
  @Test(dataProvider = "sizes")
  public void connectionsFitWhileInstancesDouble(int servers, int instances) {
    List<BackendServer> all = all(servers);
    Map<String, Integer> connections = new HashMap<>();
    for (int i = 0; i < instances; i++) {
      List<BackendServer> share = ServerShare.select(all, new Membership.Rank(i, instances));
      for (BackendServer server : share) {
        int own = ServerShare.connections(server, servers, share.size(), instances);
        connections.merge(server.id(), 2 * own, Integer::sum);
      }
    }
    int max = connections.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    assertTrue(max <= 275, "up to " + max);
  }

  @Test
  public void inASmallSystemEachInstanceUsesAllServers() {
    assertEquals(ServerShare.select(all(20), new Membership.Rank(3, 18)).size(), 20);
  }

  private static Map<String, Integer> instancesPerServer(int servers, int instances) {
    List<BackendServer> all = all(servers);
    Map<String, Integer> instancesPerServer = new HashMap<>();
    for (int i = 0; i < instances; i++) {
      ServerShare.select(all, new Membership.Rank(i, instances))
          .forEach(server -> instancesPerServer.merge(server.id(), 1, Integer::sum));
    }
    return instancesPerServer;
  }

  private static List<BackendServer> all(int count) {
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(Declarations.server("s" + i, 1));
    }
    return servers;
  }
}
