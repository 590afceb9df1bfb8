package org.magnoliaswitch.front.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.peer.HeldConfiguration.Delivery;
import org.magnoliaswitch.front.version.ApiKey;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.Quota;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.RouteUpdate;
import org.magnoliaswitch.front.version.ServerList;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamTable;
import org.magnoliaswitch.front.version.WeightedService;
import org.testng.annotations.Test;

/** Tests which configuration updates a hub sends to its listeners. */
public final class PeerHubTest {
  private static final int ROUTES = 30_000;

  /** A hub of an instance whose configuration the test sets. */
  private static final class TestHub implements AutoCloseable {
    private final AtomicReference<RouteTable> routes = new AtomicReference<>(RouteTable.EMPTY);
    private final Loop loop = Loop.start();
    private final InetSocketAddress address;
    private final PeerHub hub;

    TestHub(RouteTable first) throws IOException {
      routes.set(first);
      try (ServerSocket socket = new ServerSocket(0)) {
        address = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
      }
      hub =
          new PeerHub(
              loop,
              Clocks.system(),
              () ->
                  new PeerHub.Snapshot(
                      0,
                      0,
                      routes.get(),
                      Evacuations.UNKNOWN,
                      ServerList.EMPTY,
                      new CrashWatch(Clocks.system()).table()),
              reports -> {},
              updates -> {},
              ListenerTeams.NONE);
      hub.bind(address);
    }

    void configure(RouteTable table) {
      routes.set(table);
      loop.execute(hub::publish);
    }

    @Override
    public void close() {
      loop.stop();
    }
  }

  /** A listener that reads and writes messages only when the test calls it. */
  private static final class TestListener implements AutoCloseable {
    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final DataOutputStream out;

    TestListener(TestHub hub) throws IOException {
      socket.setReceiveBufferSize(4 << 10);
      socket.connect(hub.address);
      in = new DataInputStream(socket.getInputStream());
      out = new DataOutputStream(socket.getOutputStream());
    }

    void acknowledge(long version, long lastUpdate) throws IOException {
      HeldConfiguration held = new HeldConfiguration(version, lastUpdate, Delivery.IMMEDIATE);
      byte[] bytes =
          ListenerUpdateCodec.encode(
              new ListenerUpdate(List.of(), Optional.of(held), Optional.empty()));
      out.writeInt(bytes.length);
      out.write(bytes);
    }

    PeerUpdate read() throws IOException {
      byte[] bytes = new byte[in.readInt()];
      in.readFully(bytes);
      return PeerUpdateCodec.decode(bytes);
    }

    RouteUpdate readUpdate() throws IOException {
      Optional<RouteUpdate> update = Optional.empty();
      while (update.isEmpty()) {
        update = read().configuration().flatMap(ConfigurationUpdate::update);
      }
      return update.get();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private static RouteTable table(long version, int routes) {
    List<Route> all = new ArrayList<>();
    for (int i = 0; i < routes; i++) {
      all.add(route("r" + Integer.toHexString(i * 0x9E3779B9)));
    }
    all.add(route("added-" + version));
    return new RouteTable(version, all, List.of(), CallerLimits.DEFAULT);
  }

  private static Route route(String name) {
    return new Route(
        name, "h", "/" + name + "/", true, 5, 4, 3, 2, List.of(new WeightedService("s", 1)));
  }

  /** Guards against versions that queue up for a listener on a slow link. */
  @Test
  public void versionsDuringAnUpdateAreMerged() throws IOException {
    try (TestHub hub = new TestHub(table(1, 0));
        TestListener listener = new TestListener(hub)) {
      listener.acknowledge(0, 0);
      assertEquals(listener.readUpdate().version(), 1);
      hub.configure(table(2, 0));
      hub.configure(table(3, 0));
      hub.configure(table(4, 0));
      listener.acknowledge(1, 1);
      RouteUpdate next = listener.readUpdate();
      assertEquals(next.version(), 4);
      assertTrue(next instanceof RouteUpdate.Changes, "changes");
    }
  }

  /** Guards against disconnecting a listener because a large update is still being sent. */
  @Test
  public void slowListenerReceivesALargeUpdateCompletely()
      throws IOException, InterruptedException {
    try (TestHub hub = new TestHub(table(1, ROUTES));
        TestListener listener = new TestListener(hub)) {
      listener.acknowledge(0, 0);
      listener.read();
      for (int i = 0; i < 5; i++) {
        hub.configure(table(2 + i, ROUTES));
        TimeUnit.MILLISECONDS.sleep(100);
      }
      RouteTable received = listener.readUpdate().applyTo(RouteTable.EMPTY).orElseThrow();
      assertEquals(received.routes().size(), ROUTES + 1);
      listener.acknowledge(received.version(), received.version());
      assertEquals(listener.readUpdate().version(), 6);
      assertEquals(hub.hub.listenersDropped(), 0);
    }
  }

  /**
   * Guards against instances of an earlier release that receive no configuration, since they never
   * report which version they hold.
   */
  @Test
  public void listenerOfAnEarlierReleaseReceivesFullConfigurations() throws IOException {
    try (TestHub hub = new TestHub(table(1, 2));
        TestListener listener = new TestListener(hub)) {
      Optional<RouteTable> routes = Optional.empty();
      while (routes.isEmpty()) {
        routes = listener.read().routes();
      }
      assertEquals(routes.get().routes().size(), 3);
    }
  }

  /**
   * Guards against an instance of an earlier release that goes on with a version without teams: it
   * would serve requests without keys. It is disconnected and reads the store, and is told no
   * version as the newest that it could take for its own.
   */
  @Test
  public void listenerOfAnEarlierReleaseIsDisconnectedWhileThereAreTeams() throws IOException {
    Team team = new Team("t", Set.of(new ApiKey("k")), Quota.UNLIMITED, 0);
    RouteTable table =
        new RouteTable(
            1, List.of(route("r")), List.of(), CallerLimits.DEFAULT, new TeamTable(List.of(team)));
    try (TestHub hub = new TestHub(table);
        TestListener listener = new TestListener(hub);
        TestListener current = new TestListener(hub)) {
      current.acknowledge(0, 0);
      List<PeerUpdate> updates = new ArrayList<>();
      expectThrows(
          IOException.class,
          () -> {
            for (int i = 0; i < 10; i++) {
              updates.add(listener.read());
            }
          });
      for (PeerUpdate update : updates) {
        assertEquals(update.routes(), Optional.empty());
        assertEquals(update.configuration().flatMap(ConfigurationUpdate::update), Optional.empty());
      }
      RouteTable received = current.readUpdate().applyTo(RouteTable.EMPTY).orElseThrow();
      assertEquals(received.teams().find("k"), team);
    }
  }
}
