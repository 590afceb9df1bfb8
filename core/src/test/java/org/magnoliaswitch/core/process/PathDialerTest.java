package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.clock.HybridClock;
import org.magnoliaswitch.core.connection.SocketConnector;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.MemberState;
import org.magnoliaswitch.core.peer.PeerClient;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.peer.PeerTraffic;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.version.Service;
import org.magnoliaswitch.core.version.SnapshotParser;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests whether a refused connection counts as a crash of its server. */
public final class PathDialerTest {
  private static final int TIMEOUT_MILLIS = 250;

  /** Returns which servers run, the checked one first, and whether that one has crashed. */
  @DataProvider
  public static Object[][] servers() {
    return new Object[][] {
      {List.of(true, false), false},
      {List.of(false, true), true},
      {List.of(false, false, false, false, false, true), true},
      {List.of(false), true},
      {List.of(false, false, false), false},
    };
  }

  /** Guards against reporting requests as the cause of crashes when a link was cut. */
  @Test(dataProvider = "servers")
  public void refusalIsCrashIfTheServiceIsInReach(List<Boolean> running, boolean crashed)
      throws Exception {
    List<ServerSocket> listeners = new ArrayList<>();
    int[] ports = new int[running.size()];
    for (int i = 0; i < ports.length; i++) {
      ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      listeners.add(listener);
      ports[i] = listener.getLocalPort();
    }
    try {
      for (int i = 0; i < ports.length; i++) {
        if (!running.get(i)) {
          listeners.get(i).close();
        }
      }
      assertEquals(handle(ports).pool().refusesConnections(TIMEOUT_MILLIS), crashed);
    } finally {
      closeAll(listeners);
    }
  }

  private static void closeAll(List<ServerSocket> listeners) throws IOException {
    for (ServerSocket listener : listeners) {
      listener.close();
    }
  }

  /** Returns the server at the first port, seen by an instance without peers. */
  private static ServerHandle handle(int... ports) throws Exception {
    Clocks clocks = Clocks.system();
    Member self = new Member("me", "entry-1", "dc-1", "127.0.0.1", 1, 2, 3, 0, MemberState.SERVING);
    Membership membership = new Membership(self, clocks);
    Timeline timeline = new Timeline("entry-1", new HybridClock(clocks.wall()), 100);
    ControlState state =
        new ControlState(
            membership,
            new LeavingServers(clocks),
            new CurrentVersion(new ContentCache(), timeline),
            timeline,
            new RefusedResponses(timeline),
            new CrashWatch(clocks),
            new LastContact(clocks));
    PeerSecret secret = new PeerSecret("0123456789abcdef".getBytes(StandardCharsets.US_ASCII));
    PeerRelays relays =
        new PeerRelays(membership, new PeerClient(secret, new PeerTraffic()), clocks);
    ServiceRegistry[] registry = new ServiceRegistry[1];
    ServerConnections connections =
        new ServerConnections(state, relays, SocketConnector.NETWORK, clocks, () -> registry[0]);
    registry[0] = new ServiceRegistry(membership, clocks, connections::dialer);
    Service service = Declarations.service(ports);
    registry[0].apply(
        SnapshotParser.parse(1, "d", Declarations.parts(Declarations.profile(), service)));
    String id = service.servers().getFirst().id();
    return registry[0].state().services().get(service.name()).servers().stream()
        .filter(handle -> handle.id().equals(id))
        .findFirst()
        .orElseThrow();
  }
}
