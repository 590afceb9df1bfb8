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

/** Tests the choice of a backend server under each routing policy. */
public final class ServerChooserTest {
  private static final int CHOICES = 2_000;

  private ManualClock clock = new ManualClock();
  private SplittableRandom random = new SplittableRandom(3);

  @BeforeMethod
  public void setUp() {
    clock = new ManualClock();
    random = new SplittableRandom(3);
  }

  @Test
  public void roundRobinChoosesEachServerEquallyOften() {
    Map<String, Integer> counts = choices(new RoutingPolicy.RoundRobin(), servers(4));
    assertEquals(counts.get("s0"), Integer.valueOf(CHOICES / 4));
  }

  @Test
  public void leastRequestsAvoidsBusyServer() {
    List<ServerHandle> servers = servers(2);
    servers.get(0).load().requestStarted();
    Map<String, Integer> counts = choices(new RoutingPolicy.LeastRequests(), servers);
    assertTrue(counts.get("s0") < CHOICES / 3, counts.toString());
  }

  @Test
  public void aFullServerIsAvoided() {
    List<ServerHandle> servers = warmedUpServers(4);
    servers.get(1).load().recordReport(new LoadReport(12, 6, false), clock.read());
    assertEquals(
        choices(Declarations.FRESH_LOAD, servers).getOrDefault("s1", 0), Integer.valueOf(0));
  }

  /**
   * A report that a server is idle is half a second old. Used at full weight, it would make every
   * instance send every request to that server; weighted by its age, the server counts like an
   * average one.
   */
  @Test
  public void aStaleReportLosesWeight() {
    List<ServerHandle> servers = warmedUpServers(5);
    servers.get(0).load().recordReport(new LoadReport(0, 6, false), clock.read());
    clock.advance(Duration.ofMillis(500));
    for (ServerHandle other : servers.subList(1, 5)) {
      other.load().recordReport(new LoadReport(5, 6, false), clock.read());
    }
    double expected =
        ServerChooser.expectedRequests(
            Declarations.FRESH_LOAD, servers.get(0).load(), 5.0, clock.read());
    assertTrue(expected > 4.9, "expected " + expected);
  }

  @Test
  public void ownRequestsSinceTheReportAreCounted() {
    ServerLoad load = warmedUpServers(1).get(0).load();
    load.recordReport(new LoadReport(2, 6, false), clock.read());
    load.requestStarted();
    load.requestStarted();
    assertEquals(
        ServerChooser.expectedRequests(Declarations.FRESH_LOAD, load, 2.0, clock.read()),
        4.0,
        0.01);
  }

  @Test
  public void aStragglerThatReportsIdleIsAvoided() {
    List<ServerHandle> servers = warmedUpServers(4);
    for (int i = 0; i < 30; i++) {
      servers.get(2).load().requestStarted();
      servers.get(2).load().recordSuccess(Duration.ofMillis(200).toNanos(), clock.read());
    }
    assertEquals(
        choices(Declarations.FRESH_LOAD, servers).getOrDefault("s2", 0), Integer.valueOf(0));
  }

  @Test
  public void aServerThatOftenFailsIsAvoided() {
    List<ServerHandle> servers = warmedUpServers(3);
    for (int i = 0; i < 10; i++) {
      servers.get(0).load().requestStarted();
      servers.get(0).load().recordFailure();
    }
    assertEquals(
        choices(Declarations.FRESH_LOAD, servers).getOrDefault("s0", 0), Integer.valueOf(0));
  }

  @Test
  public void nearServersArePreferredUnlessTheyAreWorse() {
    List<ServerHandle> servers = new ArrayList<>(warmedUpServers(2));
    servers.add(warmUp(handle("far", "dc-2")));
    assertEquals(
        choices(Declarations.FRESH_LOAD, servers).getOrDefault("far", 0), Integer.valueOf(0));
    for (ServerHandle near : servers.subList(0, 2)) {
      near.load().recordReport(new LoadReport(18, 6, false), clock.read());
    }
    assertEquals(choices(Declarations.FRESH_LOAD, servers).get("far"), Integer.valueOf(CHOICES));
  }

  private Map<String, Integer> choices(RoutingPolicy policy, List<ServerHandle> servers) {
    Map<String, Integer> counts = new HashMap<>();
    AtomicInteger roundRobinCounter = new AtomicInteger();
    for (int i = 0; i < CHOICES; i++) {
      ServerHandle chosen =
          ServerChooser.choose(policy, servers, "dc-1", roundRobinCounter, clock.read(), random)
              .orElseThrow();
      counts.merge(chosen.id(), 1, Integer::sum);
    }
    return counts;
  }

  /** Servers whose initial load ramp is over, all with the same average latency. */
  private List<ServerHandle> warmedUpServers(int count) {
    List<ServerHandle> servers = servers(count);
    clock.advance(Duration.ofSeconds(10));
    servers.forEach(this::warmUp);
    return servers;
  }

  private ServerHandle warmUp(ServerHandle handle) {
    for (int i = 0; i < 10; i++) {
      handle.load().requestStarted();
      handle.load().recordSuccess(Duration.ofMillis(10).toNanos(), clock.read());
    }
    handle.load().recordReport(new LoadReport(2, 6, false), clock.read());
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
    long created = clock.read() - Duration.ofSeconds(20).toNanos();
    return new ServerHandle(
        server,
        new ServerLoad(server, created),
        new ConnectionPool(new InetSocketAddress("127.0.0.1", 1), 1, clock.clocks()));
  }
}
