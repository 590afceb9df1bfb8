package org.magnoliaswitch.standins;

import com.fasterxml.jackson.core.type.TypeReference;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.platform.ConditionalWrite;
import org.magnoliaswitch.core.platform.InstanceList;
import org.magnoliaswitch.core.platform.TransactionResult;
import org.magnoliaswitch.core.version.Json;

/**
 * A simulated platform over HTTP: table service, object store and instance list, with injectable
 * faults.
 */
public final class PlatformStandin extends Handler.Abstract implements AutoCloseable {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final String EPOCH_HEADER = "Store-Era";
  private static final String OBJECTS_PATH = "/objects";

  /** The numbers of calls and writes, written as JSON for experiments. */
  record Counts(long transactions, long rowWrites, long objectWrites, long reads) {}

  private record ListVersion(List<InstanceList.ListedInstance> list, long sinceMillis) {}

  private final Server server;
  private final ServerConnector connector;
  private final Clocks clocks;
  private final StandinTable table;
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final ConcurrentLinkedDeque<ListVersion> lists = new ConcurrentLinkedDeque<>();
  private final AtomicLong transactions = new AtomicLong();
  private final AtomicLong rowWrites = new AtomicLong();
  private final AtomicLong objectWrites = new AtomicLong();
  private final AtomicLong reads = new AtomicLong();
  private final SplittableRandom random = new SplittableRandom(7);
  private volatile PlatformFaults faults = PlatformFaults.NONE;
  private volatile Runnable restore = () -> {};

  public PlatformStandin(String host, int port, Clocks clocks) {
    super(InvocationType.BLOCKING);
    this.clocks = clocks;
    this.table = new StandinTable(clocks);
    lists.add(new ListVersion(List.of(), 0));
    QueuedThreadPool threads = new QueuedThreadPool(32, 4);
    threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
    this.server = new Server(threads);
    this.connector = new ServerConnector(server, 1, 1);
    connector.setHost(host);
    connector.setPort(port);
    server.addConnector(connector);
    server.setHandler(this);
  }

  /** Starts the HTTP server. */
  public void startServer() throws Exception {
    server.start();
  }

  /** Returns the port of the listening socket. */
  public int port() {
    return connector.getLocalPort();
  }

  /** Takes a copy of the table and the objects, from which {@link #restore} restores them. */
  public void copy() {
    Runnable restoreTable = table.copy();
    Map<String, byte[]> copiedObjects = Map.copyOf(objects);
    restore =
        () -> {
          restoreTable.run();
          objects.keySet().retainAll(copiedObjects.keySet());
          objects.putAll(copiedObjects);
        };
  }

  /** Restores the platform from the last copy; what was written since then is lost. */
  public void restore() {
    restore.run();
  }

  /** Replaces the simulated faults. */
  public void setFaults(PlatformFaults next) {
    faults = next;
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    String path = Request.getPathInContext(request);
    if (path.startsWith("/standin/")) {
      handleControl(request, response, callback, path);
      return true;
    }
    PlatformFaults current = faults;
    if (current.slowMillis() > 0) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(current.slowMillis()));
    }
    if (current.down()) {
      BackendFleet.reply(response, callback, SERVICE_UNAVAILABLE, "down\n");
      return true;
    }
    response.getHeaders().put(EPOCH_HEADER, table.epoch());
    serve(request, response, callback, path);
    return true;
  }

  private void serve(Request request, Response response, Callback callback, String path)
      throws Exception {
    switch (path) {
      case "/table/read" -> {
        reads.incrementAndGet();
        List<String> keys = Json.MAPPER.readValue(readBody(request), new TypeReference<>() {});
        replyJson(response, callback, OK, table.read(keys));
      }
      case "/table/scan" -> {
        reads.incrementAndGet();
        var query = Request.extractQueryParameters(request);
        int limit = Integer.parseInt(query.getValue("limit"));
        replyJson(response, callback, OK, table.scan(query.getValue("prefix"), limit));
      }
      case "/table/transact" -> transact(request, response, callback);
      case "/instances" -> {
        reads.incrementAndGet();
        replyJson(response, callback, OK, laggedList());
      }
      default -> serveObject(request, response, callback, path);
    }
  }

  private void transact(Request request, Response response, Callback callback) throws Exception {
    List<ConditionalWrite> writes =
        Json.MAPPER.readValue(readBody(request), new TypeReference<>() {});
    PlatformFaults current = faults;
    if (occurs(current.lateShare())) {
      Thread.ofVirtual()
          .start(
              () -> {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(current.lateMillis()));
                apply(writes);
              });
      callback.failed(new IllegalStateException("the write lands late"));
      return;
    }
    TransactionResult result = apply(writes);
    if (occurs(current.lostShare())) {
      callback.failed(new IllegalStateException("the answer is lost"));
      return;
    }
    switch (result) {
      case TransactionResult.Committed committed ->
          BackendFleet.reply(response, callback, OK, "committed\n");
      case TransactionResult.Conflict conflict ->
          replyJson(response, callback, CONFLICT, conflict.rows());
      case TransactionResult.Unknown unknown ->
          BackendFleet.reply(response, callback, SERVICE_UNAVAILABLE, unknown.reason());
    }
  }

  private TransactionResult apply(List<ConditionalWrite> writes) {
    transactions.incrementAndGet();
    rowWrites.addAndGet(writes.size());
    return table.transact(writes);
  }

  private void serveObject(Request request, Response response, Callback callback, String path)
      throws Exception {
    if (!path.equals(OBJECTS_PATH)) {
      BackendFleet.reply(response, callback, NOT_FOUND, "no such path\n");
      return;
    }
    String name = Request.extractQueryParameters(request).getValue("name");
    if (request.getMethod().equals("PUT")) {
      objectWrites.incrementAndGet();
      objects.put(name, readBody(request));
      BackendFleet.reply(response, callback, OK, "stored\n");
      return;
    }
    reads.incrementAndGet();
    byte[] content = objects.get(name);
    if (content == null) {
      BackendFleet.reply(response, callback, NOT_FOUND, "no such object\n");
    } else {
      response.setStatus(OK);
      response.write(true, ByteBuffer.wrap(content), callback);
    }
  }

  private void handleControl(Request request, Response response, Callback callback, String path)
      throws Exception {
    switch (path) {
      case "/standin/ready" -> BackendFleet.reply(response, callback, OK, "ready\n");
      case "/standin/counts" ->
          replyJson(
              response,
              callback,
              OK,
              new Counts(transactions.get(), rowWrites.get(), objectWrites.get(), reads.get()));
      case "/standin/faults" -> {
        var merged =
            (com.fasterxml.jackson.databind.node.ObjectNode)
                Json.MAPPER.valueToTree(PlatformFaults.NONE);
        merged.setAll(
            (com.fasterxml.jackson.databind.node.ObjectNode)
                Json.MAPPER.readTree(readBody(request)));
        faults = Json.MAPPER.treeToValue(merged, PlatformFaults.class);
        BackendFleet.reply(response, callback, OK, "set\n");
      }
      case "/standin/copy" -> {
        copy();
        BackendFleet.reply(response, callback, OK, "copied\n");
      }
      case "/standin/restore" -> {
        restore();
        BackendFleet.reply(response, callback, OK, "restored\n");
      }
      case "/standin/instances" -> {
        List<InstanceList.ListedInstance> list =
            Json.MAPPER.readValue(readBody(request), new TypeReference<>() {});
        lists.addLast(new ListVersion(list, clocks.millis()));
        BackendFleet.reply(response, callback, OK, "set\n");
      }
      default -> BackendFleet.reply(response, callback, NOT_FOUND, "no such path\n");
    }
  }

  private List<InstanceList.ListedInstance> laggedList() {
    long visibleMillis = clocks.millis() - faults.listLagMillis();
    List<InstanceList.ListedInstance> latest = List.of();
    for (ListVersion list : lists) {
      if (list.sinceMillis() <= visibleMillis) {
        latest = list.list();
      }
    }
    return latest;
  }

  private boolean occurs(double probability) {
    synchronized (random) {
      return probability > 0 && random.nextDouble() < probability;
    }
  }

  private static byte[] readBody(Request request) throws Exception {
    ByteBuffer buffer = Content.Source.asByteBuffer(request);
    byte[] bytes = new byte[Math.min(MAX_BODY_BYTES, buffer.remaining())];
    buffer.get(bytes);
    return bytes;
  }

  private static void replyJson(Response response, Callback callback, int status, Object value)
      throws Exception {
    response.setStatus(status);
    byte[] bytes = Json.MAPPER.writeValueAsString(value).getBytes(StandardCharsets.UTF_8);
    response.write(true, ByteBuffer.wrap(bytes), callback);
  }
}
