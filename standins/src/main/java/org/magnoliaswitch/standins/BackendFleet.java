package org.magnoliaswitch.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.version.BackendServer;
import org.magnoliaswitch.core.version.Json;

/** Backend stand-ins in a single process, each on its own port, and a port that controls them. */
public final class BackendFleet implements AutoCloseable {
  private static final int ACCEPT_BACKLOG = 1_024;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  /** Totals over all stand-ins and the counts of each, written as JSON for experiments. */
  record Statistics(
      long executions,
      long doubled,
      double busySeconds,
      double probeSeconds,
      List<BackendStandin.Counts> servers) {}

  private final Server server;
  private final Clocks clocks;
  private final ExecutionCounter executions = new ExecutionCounter();
  private final Map<String, BackendStandin> standins = new LinkedHashMap<>();
  private final Map<String, ServerConnector> connectors = new TreeMap<>();

  public BackendFleet(Clocks clocks) {
    this.clocks = clocks;
    QueuedThreadPool threads = new QueuedThreadPool(64, 8);
    threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
    this.server = new Server(threads);
    server.setHandler(new PortDispatcher());
  }

  /** Adds a backend server. Must be called before {@link #start}. */
  public void add(BackendServer declaration, BackendBehaviour behaviour) {
    BackendStandin standin = new BackendStandin(declaration.id(), behaviour, executions, clocks);
    standins.put(declaration.id(), standin);
    connectors.put(
        declaration.id(), addConnector(declaration.id(), declaration.host(), declaration.port()));
  }

  /** Adds the port that controls the stand-ins. */
  public void addControlPort(String host, int port) {
    connectors.put("", addConnector("", host, port));
  }

  /** Opens all ports. */
  public void start() throws Exception {
    server.start();
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  private ServerConnector addConnector(String name, String host, int port) {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setHeaderCacheSize(0);
    ServerConnector connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory(http));
    connector.setName(name);
    connector.setHost(host);
    connector.setPort(port);
    connector.setAcceptQueueSize(ACCEPT_BACKLOG);
    connector.setIdleTimeout(60_000);
    server.addConnector(connector);
    return connector;
  }

  /** Dispatches each request to the stand-in that belongs to the port of the connection. */
  private final class PortDispatcher extends Handler.Abstract {
    private PortDispatcher() {
      super(InvocationType.BLOCKING);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      String name = request.getConnectionMetaData().getConnector().getName();
      BackendStandin standin = standins.get(name);
      if (standin != null) {
        return standin.handle(request, response, callback);
      }
      handleControl(request, response, callback);
      return true;
    }
  }

  private void handleControl(Request request, Response response, Callback callback)
      throws Exception {
    String path = Request.getPathInContext(request);
    switch (path) {
      case "/ready" -> reply(response, callback, OK, "ready\n");
      case "/statistics" -> reply(response, callback, OK, json(statistics()));
      case "/executions" -> reply(response, callback, OK, formatExecutions());
      case "/probes" -> reply(response, callback, OK, json(probes()));
      case "/last-work" -> reply(response, callback, OK, json(lastWork()));
      case "/clear" -> {
        executions.clear();
        standins.values().forEach(s -> s.probeMillis().clear());
        reply(response, callback, OK, "cleared\n");
      }
      case "/faults" -> {
        String body = Content.Source.asString(request, StandardCharsets.UTF_8);
        reply(
            response,
            callback,
            OK,
            setFaults(Request.extractQueryParameters(request).getValue("server"), body));
      }
      default -> reply(response, callback, NOT_FOUND, "no such path\n");
    }
  }

  /**
   * Changes the faults of servers.
   *
   * @param names names of servers, separated by commas; {@code all} or null selects every server
   * @param body JSON object with the fields to change
   */
  private String setFaults(String names, String body) throws Exception {
    Collection<BackendStandin> selected = new ArrayList<>();
    if (names == null || names.equals("all")) {
      selected = standins.values();
    } else {
      for (String name : names.split(",", -1)) {
        BackendStandin standin = standins.get(name);
        if (standin == null) {
          return "no server " + name + "\n";
        }
        selected.add(standin);
      }
    }
    for (BackendStandin standin : selected) {
      var merged =
          (com.fasterxml.jackson.databind.node.ObjectNode)
              Json.MAPPER.valueToTree(standin.faults());
      merged.setAll((com.fasterxml.jackson.databind.node.ObjectNode) Json.MAPPER.readTree(body));
      ServerFaults next = Json.MAPPER.treeToValue(merged, ServerFaults.class);
      openOrClosePort(standin, next);
      standin.setFaults(next);
    }
    return "set " + selected.size() + "\n";
  }

  private void openOrClosePort(BackendStandin standin, ServerFaults next) throws Exception {
    ServerConnector connector = connectors.get(standin.id());
    if (connector == null || next.stopped() == standin.faults().stopped()) {
      return;
    }
    if (next.stopped()) {
      connector.stop();
    } else {
      connector.start();
    }
  }

  private Statistics statistics() {
    long doubled =
        executions.countsByOperation().values().stream().filter(count -> count.get() > 1).count();
    double busy = standins.values().stream().mapToDouble(BackendStandin::busySeconds).sum();
    return new Statistics(
        executions.total(),
        doubled,
        busy,
        standins.values().stream().mapToDouble(BackendStandin::probeSeconds).sum(),
        standins.values().stream().map(BackendStandin::counts).toList());
  }

  private String formatExecutions() {
    StringBuilder lines = new StringBuilder();
    executions
        .countsByOperation()
        .forEach(
            (operation, count) -> lines.append(operation).append(' ').append(count).append('\n'));
    return lines.toString();
  }

  private Map<String, List<Long>> probes() {
    Map<String, List<Long>> timesById = new TreeMap<>();
    standins.forEach((id, standin) -> timesById.put(id, List.copyOf(standin.probeMillis())));
    return timesById;
  }

  private Map<String, Long> lastWork() {
    Map<String, Long> timesById = new TreeMap<>();
    standins.forEach((id, standin) -> timesById.put(id, standin.lastWorkMillis()));
    return timesById;
  }

  private static String json(Object value) throws JsonProcessingException {
    return Json.MAPPER.writeValueAsString(value) + '\n';
  }

  static void reply(Response response, Callback callback, int status, String text)
      throws IOException {
    response.setStatus(status);
    response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
  }
}
