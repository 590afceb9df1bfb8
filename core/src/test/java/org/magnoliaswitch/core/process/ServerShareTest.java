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

/** Shares of servers among instances. */
public final class ServerShareTest {
  @DataProvider
  public static Object[][] sizes() {
    return new Object[][] {{6, 18}, {20, 18}, {25, 100}, {25, 250}, {400, 250}, {1600, 300}};
  }

  @Test(dataProvider = "sizes")
  public void coversServersEvenly(int servers, int instances) {
    Map<String, Integer> users = users(servers, instances);
    int most = users.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    int least = users.values().stream().mapToInt(Integer::intValue).min().orElseThrow();
    assertEquals(users.size(), servers);
    assertTrue(most - least <= 2, least + " to " + most);
  }

  /** With instances doubled in a replacement, all together must fit a server's 250 connections. */
  @Test(dataProvider = "sizes")
  public void connectionsFitWhileInstancesDouble(int servers, int instances) {
    List<BackendServer> all = all(servers);
    Map<String, Integer> connections = new HashMap<>();
    for (int i = 0; i < instances; i++) {
      List<BackendServer> share = ServerShare.select(all, new Membership.Rank(i, instances));
      for (BackendServer server : share) {
        int mine = ServerShare.connections(server, servers, share.size(), instances);
        connections.merge(server.id(), 2 * mine, Integer::sum);
      }
    }
    int most = connections.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    assertTrue(most <= 275, "up to " + most);
  }

  @Test
  public void aSmallSystemSharesNothingOut() {
    assertEquals(ServerShare.select(all(20), new Membership.Rank(3, 18)).size(), 20);
  }

  private static Map<String, Integer> users(int servers, int instances) {
    List<BackendServer> all = all(servers);
    Map<String, Integer> users = new HashMap<>();
    for (int i = 0; i < instances; i++) {
      ServerShare.select(all, new Membership.Rank(i, instances))
          .forEach(server -> users.merge(server.id(), 1, Integer::sum));
    }
    return users;
  }

  private static List<BackendServer> all(int count) {
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(Declarations.server("s" + i, 1));
    }
    return servers;
  }
}
