package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaswitch.core.connection.ConnectionPool;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.version.BackendServer;
import org.testng.annotations.Test;

/** Tests the ejection of failing servers. */
public final class EjectionPolicyTest {
  private final ManualClock time = new ManualClock();

  @Test
  public void aServerThatRejectsEverythingIsEjected() {
    List<ServerHandle> servers = servers(6);
    fail(servers.get(0), 10);
    assertTrue(decide(servers, 0).isPresent());
  }

  @Test
  public void aFewFailuresAmongSuccessesEjectNoServer() {
    List<ServerHandle> servers = servers(6);
    for (int i = 0; i < 20; i++) {
      fail(servers.get(0), 1);
      answer(servers.get(0), 4);
    }
    assertTrue(decide(servers, 0).isEmpty());
  }

  /**
   * If every server fails, ejecting all of them would leave no server although the fault may be
   * elsewhere, so at most a third of them is ejected at a time.
   */
  @Test
  public void aFailureOfAllServersEjectsAThird() {
    List<ServerHandle> servers = servers(9);
    int ejected = 0;
    for (int i = 0; i < servers.size(); i++) {
      fail(servers.get(i), 10);
      var ejection = decide(servers, i);
      if (ejection.isPresent()) {
        servers.get(i).load().eject(ejection.get());
        ejected++;
      }
    }
    assertEquals(ejected, 3);
  }

  @Test
  public void theNextEjectionIsLonger() {
    List<ServerHandle> servers = servers(3);
    ServerLoad load = servers.get(0).load();
    fail(servers.get(0), 10);
    Ejection first = decide(servers, 0).orElseThrow();
    load.eject(first);
    long firstDuration = first.untilNanos() - time.read();
    time.advance(Duration.ofNanos(firstDuration));
    fail(servers.get(0), 10);
    Ejection second = decide(servers, 0).orElseThrow();
    assertEquals(second.untilNanos() - time.read(), 2 * firstDuration);
  }

  private java.util.Optional<Ejection> decide(List<ServerHandle> servers, int index) {
    return EjectionPolicy.decide(servers.get(index).load(), servers, time.read());
  }

  private static void fail(ServerHandle server, int times) {
    for (int i = 0; i < times; i++) {
      server.load().requestStarted();
      server.load().recordFailure();
    }
  }

  private void answer(ServerHandle server, int times) {
    for (int i = 0; i < times; i++) {
      server.load().requestStarted();
      server.load().recordSuccess(1_000_000, time.read());
    }
  }

  private List<ServerHandle> servers(int count) {
    List<ServerHandle> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      BackendServer server = Declarations.server("s" + i, 1);
      servers.add(
          new ServerHandle(
              server,
              new ServerLoad(server, time.read()),
              new ConnectionPool(new InetSocketAddress("127.0.0.1", 1), 1, time.clocks())));
    }
    return servers;
  }
}
