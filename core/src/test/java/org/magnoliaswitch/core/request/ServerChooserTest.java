package org.magnoliaswitch.core.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaswitch.core.connection.ConnectionPool;
import org.magnoliaswitch.core.process.LoadReport;
import org.magnoliaswitch.core.process.ServerHandle;
import org.magnoliaswitch.core.process.ServerLoad;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.version.BackendServer;
import org.magnoliaswitch.core.version.RoutingPolicy;
import org.magnoliaswitch.core.version.ServerState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Choice of a backend server. */
public final class ServerChooserTest {
  private static final int CHOICES = 2_000;

  private ManualClock time = new ManualClock();
  private SplittableRandom random = new SplittableRandom(3);

  @BeforeMethod
  public void fresh() {
    time = new ManualClock();
    random = new SplittableRandom(3);
  }

  @Test
  public void roundRobinTakesEachInTurn() {
    Map<String, Integer> counts = choices(new RoutingPolicy.RoundRobin(), servers(4));
    assertEquals(counts.get("s0"), Integer.valueOf(CHOICES / 4));
  }

  @Test
  public void leastRequestsAvoidsTheBusyOne() {
    List<ServerHandle> servers = servers(2);
    servers.get(0).load().sent();
    Map<String, Integer> counts = choices(new RoutingPolicy.LeastRequests(), servers);
    assertTrue(counts.get("s0") < CHOICES / 3, counts.toString());
  }

  @Test
  public void aFullServerIsAvoided() {
    List<ServerHandle> servers = settled(4);
    servers.get(1).load().reported(new LoadReport(12, 6, false), time.read());
    assertEquals(
        choices(Declarations.FRESH_LOAD, servers).getOrDefault("s1", 0), Integer.valueOf(0));
  }

  /**
   * A report that a server is idle is half a second old. Sent to by its face value, the server
   * would get every request of every instance; faded to the average it is one among others.
   */
  @Test
  public void aStaleReportLosesItsWeight() {
    List<ServerHandle> servers = settled(5);
    servers.get(0).load().reported(new LoadReport(0, 6, false), time.read());
    time.advance(Duration.ofMillis(500));
    for (ServerHandle other : servers.subList(1, 5)) {
      other.load().reported(new LoadReport(5, 6, false), time.read());
    }
    double expected =
        ServerChooser.expectedRequests(
            Declarations.FRESH_LOAD, servers.get(0).load(), 5.0, time.read());
    assertTrue(expected > 4.9, "expected " + expected);
  }

  @Test
  public void ownSendsSinceTheReportCount() {
    ServerLoad load = settled(1).get(0).load();
    load.reported(new LoadReport(2, 6, false), time.read());
    load.sent();
    load.sent();
    assertEquals(
        ServerChooser.expectedRequests(Declarations.FRESH_LOAD, load, 2.0, time.read()), 4.0, 0.01);
  }

  @Test
  public void aStragglerIsAvoidedThoughItReportsIdle() {
    List<ServerHandle> servers = settled(4);
    for (int i = 0; i < 30; i++) {
      servers.get(2).load().sent();
      servers.get(2).load().answered(Duration.ofMillis(200).toNanos(), time.read());
    }
    assertEquals(
        choices(Declarations.FRESH_LOAD, servers).getOrDefault("s2", 0), Integer.valueOf(0));
  }

  @Test
  public void aServerThatOftenFailsIsNotTakenForIdle() {
    List<ServerHandle> servers = settled(3);
    for (int i = 0; i < 10; i++) {
      servers.get(0).load().sent();
      servers.get(0).load().failed();
    }
    assertEquals(
        choices(Declarations.FRESH_LOAD, servers).getOrDefault("s0", 0), Integer.valueOf(0));
  }

  @Test
  public void nearServersComeFirstUntilTheyAreWorse() {
    List<ServerHandle> servers = new ArrayList<>(settled(2));
    servers.add(settle(handle("far", "dc-2")));
    assertEquals(
        choices(Declarations.FRESH_LOAD, servers).getOrDefault("far", 0), Integer.valueOf(0));
    for (ServerHandle near : servers.subList(0, 2)) {
      near.load().reported(new LoadReport(18, 6, false), time.read());
    }
    assertEquals(choices(Declarations.FRESH_LOAD, servers).get("far"), Integer.valueOf(CHOICES));
  }

  private Map<String, Integer> choices(RoutingPolicy policy, List<ServerHandle> servers) {
    Map<String, Integer> counts = new HashMap<>();
    AtomicInteger turn = new AtomicInteger();
    for (int i = 0; i < CHOICES; i++) {
      ServerHandle chosen =
          ServerChooser.choose(policy, servers, "dc-1", turn, time.read(), random).orElseThrow();
      counts.merge(chosen.id(), 1, Integer::sum);
    }
    return counts;
  }

  /** Servers past their ramp, all with the same usual latency. */
  private List<ServerHandle> settled(int count) {
    List<ServerHandle> servers = servers(count);
    time.advance(Duration.ofSeconds(10));
    servers.forEach(this::settle);
    return servers;
  }

  private ServerHandle settle(ServerHandle handle) {
    for (int i = 0; i < 10; i++) {
      handle.load().sent();
      handle.load().answered(Duration.ofMillis(10).toNanos(), time.read());
    }
    handle.load().reported(new LoadReport(2, 6, false), time.read());
    return handle;
  }

  private List<ServerHandle> servers(int count) {
    List<ServerHandle> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(handle("s" + i, "dc-1"));
    }
    return servers;
  }

  private ServerHandle handle(String id, String dataCentre) {
    BackendServer server =
        new BackendServer(id, dataCentre, "127.0.0.1", 1, 6, 250, ServerState.ACTIVE);
    long born = time.read() - Duration.ofSeconds(20).toNanos();
    return new ServerHandle(
        server,
        new ServerLoad(server, born),
        new ConnectionPool(new InetSocketAddress("127.0.0.1", 1), 1, time.clocks()));
  }
}
