package org.magnoliaswitch.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.SocketConnector;
import org.magnoliaswitch.core.operator.ChangeReply;
import org.magnoliaswitch.core.operator.ChangeRequest;
import org.magnoliaswitch.core.operator.ChangeService;
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.platform.HttpPlatform;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.GossipSettings;
import org.magnoliaswitch.core.process.InstanceIdentity;
import org.magnoliaswitch.core.process.Platform;
import org.magnoliaswitch.core.request.RequestService;
import org.magnoliaswitch.core.version.BackendServer;
import org.magnoliaswitch.core.version.Json;
import org.magnoliaswitch.core.version.ServerState;
import org.magnoliaswitch.core.version.Service;
import org.magnoliaswitch.standins.BackendBehaviour;
import org.magnoliaswitch.standins.BackendFleet;
import org.magnoliaswitch.standins.PlatformFaults;
import org.magnoliaswitch.standins.PlatformStandin;

/** An entry with its listener for callers and stand-ins of its backends, all in this process. */
final class RunningEntry implements AutoCloseable {
  private static final int SERVERS = 3;

  private final PlatformStandin platform;
  private final BackendFleet backends;
  private final int controlPort;
  private final ControlPlane control;
  private final CallerListener callers;
  private final int callerPort;
  private final int peerPort = PortAllocator.allocate();

  RunningEntry() throws Exception {
    this(SocketConnector.NETWORK);
  }

  /** Starts an entry whose connections to servers a connector opens. */
  RunningEntry(SocketConnector connector) throws Exception {
    this.platform = new PlatformStandin("127.0.0.1", 0, Clocks.system());
    platform.startServer();
    this.backends = new BackendFleet(Clocks.system());
    Service service = service();
    service.servers().forEach(s -> backends.add(s, new BackendBehaviour(6, 20, 1, 0.1, 1)));
    this.controlPort = PortAllocator.allocate();
    backends.addControlPort("127.0.0.1", controlPort);
    backends.start();
    this.callerPort = PortAllocator.allocate();
    this.control = control("entry-1", List.of(), connector);
    this.callers = startListener("entry-1");
    submitConfiguration(service);
  }

  /**
   * Starts an entry that knows no other, on the platform and the backend servers of an ended one.
   */
  private RunningEntry(RunningEntry ended) throws Exception {
    this.platform = ended.platform;
    this.backends = ended.backends;
    this.controlPort = ended.controlPort;
    this.callerPort = PortAllocator.allocate();
    this.control = control("entry-2", List.of(), SocketConnector.NETWORK);
    this.callers = startListener("entry-2");
  }

  /** Starts a further entry on the platform and the backend servers of a running one. */
  private RunningEntry(RunningEntry seed, String name, SocketConnector connector) throws Exception {
    this.platform = seed.platform;
    this.backends = seed.backends;
    this.controlPort = seed.controlPort;
    this.callerPort = PortAllocator.allocate();
    this.control = control(name, List.of(new Address("127.0.0.1", seed.peerPort)), connector);
    this.callers = startListener(name);
  }

  /** Starts a further entry that is a peer of this one; it must be closed before this one. */
  Peer startPeer(String name, SocketConnector connector) throws Exception {
    return new Peer(new RunningEntry(this, name, connector));
  }

  /** A further entry on the platform and the backend servers of the first one. */
  record Peer(RunningEntry entry) implements AutoCloseable {
    @Override
    public void close() throws Exception {
      entry.closeEntry();
    }
  }

  /** Ends this entry, but neither its platform nor its backend servers, and starts another one. */
  RunningEntry replace() throws Exception {
    closeEntry();
    return new RunningEntry(this);
  }

  private ControlPlane control(String name, List<Address> seeds, SocketConnector connector)
      throws Exception {
    HttpPlatform httpPlatform = new HttpPlatform(URI.create(settings(name).platform()), 500);
    return new ControlPlane(
        new ControlPlane.Setup(
            new InstanceIdentity(name, "dc-1", "127.0.0.1", callerPort, 1, peerPort),
            seeds,
            GossipSettings.DEFAULT,
            new PeerSecret("0123456789abcdef".getBytes(StandardCharsets.US_ASCII))),
        new Platform(httpPlatform, httpPlatform, httpPlatform),
        Clocks.system(),
        new SplittableRandom(1),
        connector);
  }

  private CallerListener startListener(String name) throws Exception {
    CallerListener listener =
        new CallerListener(settings(name), control, new RequestService(control, "dc-1", true));
    listener.start();
    control.catchUp();
    control.start();
    return listener;
  }

  private void submitConfiguration(Service service) throws IOException {
    Map<String, String> parts = new TreeMap<>();
    parts.put("services/booking.json", Json.MAPPER.writeValueAsString(service));
    parts.put("profiles/bookings.json", profile());
    ChangeReply reply =
        new ChangeService(control).submit(new ChangeRequest(0, "first", "test", "", parts));
    if (reply.status() != ChangeReply.Status.ACCEPTED) {
      throw new IllegalStateException(reply.toString());
    }
  }

  /** Sends a request without changing it and reads the response until the connection closes. */
  String sendRaw(String request) throws IOException {
    return sendRaw(request, false);
  }

  /**
   * Sends a request without changing it, shuts down the output and reads the response until the
   * connection closes.
   */
  String sendRawAndShutDownOutput(String request) throws IOException {
    return sendRaw(request, true);
  }

  private String sendRaw(String request, boolean shutDownOutput) throws IOException {
    try (Socket socket = new Socket(java.net.InetAddress.getLoopbackAddress(), callerPort)) {
      socket.setSoTimeout(10_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      if (shutDownOutput) {
        socket.shutdownOutput();
      }
      InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  /** Sends one request on a new connection and returns the response. */
  String send(String method, String path, String fields, String body) throws IOException {
    return sendRaw(
        method
            + ' '
            + path
            + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            + fields
            + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
            + "\r\n"
            + body);
  }

  /** Injects faults, given as JSON, into all backend servers. */
  void faults(String json) throws IOException {
    try (Socket socket = new Socket(java.net.InetAddress.getLoopbackAddress(), controlPort)) {
      String request =
          "POST /faults?server=all HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
              + json.length()
              + "\r\n\r\n"
              + json;
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] unused = socket.getInputStream().readAllBytes();
    }
  }

  void platformFaults(PlatformFaults faults) {
    platform.setFaults(faults);
  }

  PlatformStandin platform() {
    return platform;
  }

  /** Executions at the backend servers, one line for each operation with its count. */
  String executions() throws IOException {
    try (Socket socket = new Socket(java.net.InetAddress.getLoopbackAddress(), controlPort)) {
      socket
          .getOutputStream()
          .write(
              "GET /executions HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  ControlPlane control() {
    return control;
  }

  CallerListener callers() {
    return callers;
  }

  int callerPort() {
    return callerPort;
  }

  private void closeEntry() throws Exception {
    boolean unused = callers.stop(1_000);
    control.close();
  }

  @Override
  public void close() throws Exception {
    closeEntry();
    backends.close();
    platform.close();
  }

  private EntrySettings settings(String name) throws IOException {
    Path file = Files.createTempFile("magnolia", ".txt");
    Files.writeString(file, "0123456789abcdef\n");
    file.toFile().deleteOnExit();
    return new EntrySettings(
        name,
        "dc-1",
        "127.0.0.1",
        callerPort,
        1,
        2,
        List.of(),
        "http://127.0.0.1:" + platform.port(),
        500,
        file.toString(),
        file.toString(),
        true,
        0,
        1_000,
        Optional.empty());
  }

  private static Service service() throws IOException {
    List<BackendServer> servers = new java.util.ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(
          new BackendServer(
              "s" + i, "dc-1", "127.0.0.1", PortAllocator.allocate(), 6, 250, ServerState.ACTIVE));
    }
    return new Service("booking", "/booking", "bookings", 0.5, servers);
  }

  private static String profile() {
    return """
        {"name": "bookings",
         "routing": {"type": "fresh-load", "candidates": 5, "reportHalfLifeMillis": 60,
                     "remotePenaltyMillis": 2},
         "measuring": {"probesPerSecond": 5, "maxInstances": 40},
         "admission": {"loadPerSlot": 1.5, "maxQueue": 100, "weighted": true},
         "retry": {"budgetRatio": 0.1, "maxAttempts": 3, "hedging": false, "hedgeQuantile": 0.95},
         "keys": {"required": true, "retentionSeconds": 900, "claimWindowMillis": 1,
                  "protectionEnabled": true},
         "refusalStatuses": [503],
         "kinds": [
           {"name": "book", "method": "POST", "pathPrefix": "/book", "execution": "AT_MOST_ONCE",
            "harmWeight": 10, "deadlineMillis": 3000},
           {"name": "read", "method": "GET", "pathPrefix": "/", "execution": "IDEMPOTENT",
            "harmWeight": 1, "deadlineMillis": 3000}]}
        """;
  }
}
