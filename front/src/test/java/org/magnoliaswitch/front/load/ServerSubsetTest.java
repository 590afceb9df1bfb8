package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.magnoliaswitch.front.version.ServerEntry;
import org.testng.annotations.Test;

/** Tests which servers of a large service an instance sends to. */
public final class ServerSubsetTest {
  private static final int DATA_CENTRES = 3;

  private static List<ServerEntry> servers(int count) {
    List<ServerEntry> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String dataCentre = "dc-" + i % DATA_CENTRES;
      servers.add(new ServerEntry("i-" + i, 0, "s", "127.0.0.1", 1, dataCentre, 6, false, 0));
    }
    return servers;
  }

  private static List<ServerEntry> subset(List<ServerEntry> servers, int instance) {
    return subset(servers, instance, 129);
  }

  private static List<ServerEntry> subset(List<ServerEntry> servers, int instance, int instances) {
    return ServerSubset.select(
        servers,
        ServerSubset.size(servers.size(), instances),
        Function.identity(),
        "front-" + instance,
        "dc-" + instance % DATA_CENTRES);
  }

  @Test
  public void aSmallServiceIsUsedCompletely() {
    List<ServerEntry> servers = servers(ServerSubset.MIN_SIZE);
    assertEquals(subset(servers, 1), servers);
  }

  /** Few instances need no subsets: their load samples of each server are recent enough. */
  @Test
  public void fewInstancesUseAllServers() {
    List<ServerEntry> servers = servers(150);
    assertEquals(subset(servers, 1, 18), servers);
  }

  @Test
  public void mostServersOfASubsetAreLocal() {
    List<ServerEntry> selected = subset(servers(150), 2);
    long local = selected.stream().filter(server -> server.dataCentre().equals("dc-2")).count();
    assertEquals(new HashSet<>(selected).size(), ServerSubset.size(150, 129));
    assertTrue(local >= Math.floor(ServerSubset.LOCAL_SHARE * selected.size()), local + " local");
  }

  /** Instances in a data centre without servers must still have servers to send to. */
  @Test
  public void aDataCentreWithoutServersUsesRemoteOnes() {
    List<ServerEntry> remote =
        servers(150).stream().filter(server -> !server.dataCentre().equals("dc-1")).toList();
    assertEquals(subset(remote, 1).size(), ServerSubset.size(remote.size(), 129));
  }

  /**
   * A server that leaves is replaced by one other; the connections to the remaining servers are
   * kept.
   */
  @Test
  public void aLeavingServerIsReplacedByOneOther() {
    List<ServerEntry> servers = servers(150);
    List<ServerEntry> before = subset(servers, 3);
    servers.remove(before.getFirst());
    List<ServerEntry> after = new ArrayList<>(subset(servers, 3));
    after.removeAll(before);
    assertEquals(after.size(), 1);
  }

  /** The slots of a server that is in no subset would be lost. */
  @Test
  public void everyServerIsInSomeSubsets() {
    Map<String, Integer> instances = new HashMap<>();
    for (int instance = 0; instance < 129; instance++) {
      subset(servers(150), instance).forEach(s -> instances.merge(s.id(), 1, Integer::sum));
    }
    int min = instances.values().stream().mapToInt(Integer::intValue).min().orElse(0);
    int max = instances.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    assertEquals(instances.size(), 150);
    assertTrue(min >= 4 && max <= 28, min + " to " + max);
  }
}
