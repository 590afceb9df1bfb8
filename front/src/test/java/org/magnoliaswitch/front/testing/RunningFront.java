package org.magnoliaswitch.front.testing;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.magnoliaswitch.front.FrontProcess;
import org.magnoliaswitch.front.load.ColdShare;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.SharedRetryBudget;
import org.magnoliaswitch.front.process.Front;
import org.magnoliaswitch.front.process.FrontSettings;
import org.magnoliaswitch.front.process.RelaySettings;
import org.magnoliaswitch.front.process.StateSource;
import org.magnoliaswitch.front.process.TeamBounds;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.OperatorState;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.TeamTable;
import org.magnoliaswitch.front.version.Warmup;
import org.magnoliaswitch.front.version.WeightedService;

/**
 * An instance on free ports with a fixed configuration: an idempotent route {@code /safe/} and a
 * route {@code /once/} that is not idempotent.
 */
public final class RunningFront {
  private static final SharedRetryBudget.Limits RETRY_BUDGET =
      new SharedRetryBudget.Limits(0.5, 100, TimeUnit.SECONDS.toNanos(10));

  private final Front front;
  private final Optional<RelaySettings> relaySettings;

  /**
   * Starts an instance and waits until its configuration is in force.
   *
   * @param timeoutMillis timeout of both routes
   */
  public RunningFront(long timeoutMillis, ScriptedServer... servers) throws IOException {
    this(timeoutMillis, 0, List.of(), Optional.empty(), TeamTable.EMPTY, entries(servers));
  }

  /** Starts an instance without seeds that knows servers by their entries. */
  public static RunningFront withServers(long timeoutMillis, List<ServerEntry> servers)
      throws IOException {
    return new RunningFront(
        timeoutMillis, 0, List.of(), Optional.empty(), TeamTable.EMPTY, servers);
  }

  /** Starts an instance without seeds whose requests need keys. */
  public static RunningFront withTeams(
      TeamTable teams, long timeoutMillis, ScriptedServer... servers) throws IOException {
    return new RunningFront(timeoutMillis, 0, List.of(), Optional.empty(), teams, entries(servers));
  }

  /** Starts an instance without seeds that knows one instance which opens connections for it. */
  public static RunningFront withRelay(
      long timeoutMillis, InetSocketAddress relay, List<ServerEntry> servers) throws IOException {
    InetSocketAddress own = new InetSocketAddress("127.0.0.1", PortAllocator.allocate());
    Optional<RelaySettings> relays = Optional.of(new RelaySettings(own, List.of(relay)));
    return new RunningFront(timeoutMillis, 0, List.of(), relays, TeamTable.EMPTY, servers);
  }

  /** Starts an instance without seeds that opens connections for others. */
  public static RunningFront withRelay(long timeoutMillis, ScriptedServer server)
      throws IOException {
    InetSocketAddress none = new InetSocketAddress("127.0.0.1", PortAllocator.allocate());
    return withRelay(timeoutMillis, none, entries(server));
  }

  /**
   * Starts several instances that exchange their state; the first one is their seed.
   *
   * @param timeoutMillis timeout of both routes
   */
  public static List<RunningFront> group(int count, long timeoutMillis, ScriptedServer... servers)
      throws IOException {
    return group(timeoutMillis, Collections.nCopies(count, entries(servers)));
  }

  /**
   * Starts several instances that exchange their state and each reach the servers at addresses of
   * their own; the first one is their seed.
   *
   * @param timeoutMillis timeout of both routes
   * @param servers for each instance, the servers as it sees them
   */
  public static List<RunningFront> group(long timeoutMillis, List<List<ServerEntry>> servers)
      throws IOException {
    int seedPort = PortAllocator.allocate();
    List<InetSocketAddress> seeds = List.of(new InetSocketAddress("127.0.0.1", seedPort));
    InetSocketAddress seedRelay = new InetSocketAddress("127.0.0.1", PortAllocator.allocate());
    List<RunningFront> fronts = new ArrayList<>();
    for (List<ServerEntry> seen : servers) {
      boolean seed = fronts.isEmpty();
      InetSocketAddress relay =
          seed ? seedRelay : new InetSocketAddress("127.0.0.1", PortAllocator.allocate());
      fronts.add(
          new RunningFront(
              timeoutMillis,
              seed ? seedPort : PortAllocator.allocate(),
              seeds,
              Optional.of(new RelaySettings(relay, List.of(seedRelay))),
              TeamTable.EMPTY,
              seen));
    }
    return fronts;
  }

  private static List<ServerEntry> entries(ScriptedServer... servers) {
    return Stream.of(servers).map(ScriptedServer::entry).toList();
  }

  private RunningFront(
      long timeoutMillis,
      int peersPort,
      List<InetSocketAddress> seeds,
      Optional<RelaySettings> relays,
      TeamTable teams,
      List<ServerEntry> servers)
      throws IOException {
    this.relaySettings = relays;
    long timeout = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    RouteTable routes =
        new RouteTable(
            1,
            List.of(route("safe", true, timeout), route("once", false, timeout)),
            List.of(new ServicePolicy("s", "/health", 100, Warmup.UNLIMITED)),
            CallerLimits.DEFAULT,
            teams);
    Map<String, ServerEntry> entries = new HashMap<>();
    for (ServerEntry server : servers) {
      entries.put(server.id(), server);
    }
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    FrontSettings settings =
        new FrontSettings(
            "test",
            "here",
            any,
            any,
            new InetSocketAddress("127.0.0.1", peersPort),
            seeds,
            false,
            0,
            TimeUnit.SECONDS.toNanos(2),
            RETRY_BUDGET,
            100,
            ColdShare.Bounds.NONE,
            Map.of(),
            Mechanisms.ALL,
            TeamBounds.DEFAULT,
            relays);
    front =
        FrontProcess.start(
            settings,
            TestHeaders.NAMES,
            (loop, log, metrics) -> new Fixed(routes, new ServerList(Revision.of(0, 1), entries)));
    String response = "503";
    while (response.contains("no_configuration") || response.equals("503")) {
      response = request("GET", "/none/", 100);
    }
  }

  /** Port at which other instances ask for connections. */
  public int relayPort() {
    return relaySettings.orElseThrow().own().getPort();
  }

  /** Stops the instance gracefully. */
  public void stop(Runnable stopped) {
    front.stop(stopped);
  }

  private static Route route(String name, boolean idempotent, long timeout) {
    List<WeightedService> parts = List.of(new WeightedService("s", 1));
    return new Route(name, "h", "/" + name + "/", idempotent, timeout, timeout / 3, 0, 2, parts);
  }

  /** Sends a request on a new connection and returns all bytes of the response. */
  public String request(String method, String path, long deadlineMillis) throws IOException {
    try (Socket socket = connect()) {
      send(socket, method, path, deadlineMillis, "Connection: close\r\n");
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  /**
   * Sends a request on a new connection from the given address of the loopback range, and returns
   * all bytes of the response.
   */
  public String requestFrom(String address, String method, String path, long deadlineMillis)
      throws IOException {
    InetAddress local = InetAddress.getByName(address);
    try (Socket socket = new Socket("127.0.0.1", front.callerAddress().getPort(), local, 0)) {
      send(socket, method, path, deadlineMillis, "Connection: close\r\n");
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  /** Address that callers connect to. */
  public InetSocketAddress address() {
    return front.callerAddress();
  }

  /** Opens a connection to the callers' port. */
  public Socket connect() throws IOException {
    return new Socket("127.0.0.1", front.callerAddress().getPort());
  }

  /** Writes a request. */
  public static void send(
      Socket socket, String method, String path, long deadlineMillis, String more)
      throws IOException {
    String request =
        "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: id-%s\r\nDeadline-Millis: %d\r\n%s\r\n"
            .formatted(method, path, path, deadlineMillis, more);
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads until the received bytes end with a text, or the connection is closed. */
  public static String readUntil(Socket socket, String end) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith(end)) {
      int next = in.read();
      if (next < 0) {
        break;
      }
      bytes.write(next);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** A source whose state never changes. */
  private record Fixed(RouteTable routes, ServerList servers) implements StateSource {
    @Override
    public void operatorState(Consumer<Read<OperatorState>> listener) {
      listener.accept(
          new Read.Known<>(
              new OperatorState(routes, new Evacuations(Revision.of(0, 1), Set.of()))));
    }

    @Override
    public void nextOperatorState(long waitMillis, Consumer<Read<OperatorState>> listener) {
      // The state never changes, so the listener is never called.
    }

    @Override
    public void servers(Consumer<Read<ServerList>> listener) {
      listener.accept(new Read.Known<>(servers));
    }
  }
}
