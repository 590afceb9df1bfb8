import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound target: so many slots, a short queue, whole answers, one request at a time each way. */
final class Target implements AutoCloseable {
  /** Short, so that a few connections fill it while packets are lost. */
  private static final int BACKLOG = 1;

  private static final int FILLING_CONNECTIONS = 10;
  private static final int FILLING_TIMEOUT_MILLIS = 20;

  private final Store store;
  private final Record record;
  private final String id;
  private final String service;
  private final int slots;
  private final double workMillis;
  private final int bodyBytes;
  private final Random random;
  private final ServerSocket listener;
  private final Semaphore free;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Set<String> toBreakOff = ConcurrentHashMap.newKeySet();
  private final Set<String> brokenOff = ConcurrentHashMap.newKeySet();
  private final List<Socket> filling = new ArrayList<>();
  private boolean accepting = true;
  private String keepAlive = "";
  private volatile boolean crashed;

  /** Creates a target with short answers. */
  Target(
      Store store, Record record, String id, String service, int slots, double workMillis, long seed)
      throws IOException {
    this(store, record, id, service, slots, workMillis, 8, seed);
  }

  Target(
      Store store,
      Record record,
      String id,
      String service,
      int slots,
      double workMillis,
      int bodyBytes,
      long seed)
      throws IOException {
    this.store = store;
    this.record = record;
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.workMillis = workMillis;
    this.bodyBytes = bodyBytes;
    this.random = new Random(seed);
    this.free = new Semaphore(slots, true);
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  String id() {
    return id;
  }

  /** Makes the target tell its callers when it closes idle connections. */
  void closeIdleAfterSeconds(int seconds) {
    keepAlive = "Keep-Alive: timeout=" + seconds + "\r\n";
  }

  /** Lets the answer to a request have no length and end with a reset halfway. */
  void breakOff(String attempt) {
    toBreakOff.add(attempt);
  }

  /** Whether it has broken off the answer to a request. */
  boolean brokeOff(String attempt) {
    return brokenOff.contains(attempt);
  }

  /**
   * Loses the packets that open connections: the queue of new connections is kept full, so that the
   * kernel drops them.
   */
  void losePackets() throws IOException {
    synchronized (this) {
      accepting = false;
    }
    int dropped = 0;
    for (int i = 0; i < FILLING_CONNECTIONS; i++) {
      Socket socket = new Socket();
      try {
        socket.connect(listener.getLocalSocketAddress(), FILLING_TIMEOUT_MILLIS);
        filling.add(socket);
        dropped = 0;
      } catch (SocketTimeoutException e) {
        socket.close();
        dropped++;
      }
      if (dropped == 2) {
        return;
      }
    }
    throw new IOException("the queue of new connections did not fill");
  }

  /** Accepts new connections again. */
  synchronized void passPackets() {
    accepting = true;
    notifyAll();
    for (Socket socket : filling) {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
    filling.clear();
  }

  private synchronized void awaitAccepting() throws InterruptedException {
    while (!accepting) {
      wait();
    }
  }

  /** Number of requests that it has run and answered. */
  int answered() {
    return answered.get();
  }

  /** Writes the entry of the target; the platform removes it after three heartbeats of silence. */
  void register() {
    InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
    store.put(
        "servers",
        id,
        ("{\"backend\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"hall\","
                + "\"config_version\":\"v1\",\"capacity\":%d,\"state\":\"ready\","
                + "\"warmup_left\":\"0ms\",\"sequence\":1}")
            .formatted(service, address.getPort(), slots));
  }

  /** Ends as a killed process does: its port refuses and its connections are reset. */
  void crash() throws IOException {
    crashed = true;
    listener.close();
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
    record.line("crash", id);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        awaitAccepting();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException | InterruptedException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Http.Message request = Http.read(socket.getInputStream());
      while (request != null && !crashed) {
        handle(request, socket);
        request = Http.read(socket.getInputStream());
      }
    } catch (IOException | InterruptedException e) {
      return;
    } finally {
      sockets.remove(socket);
    }
  }

  private void handle(Http.Message request, Socket socket)
      throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    if (request.target().equals("/health")) {
      answer(out, "200 OK", "Target-Id: " + id + "\r\n", "");
      return;
    }
    String attempt = request.header("attempt-id");
    String echo = "Attempt-Id: " + attempt + "\r\n";
    String expected = request.header("expected-target");
    if (!expected.isEmpty() && !expected.equals(id)) {
      answer(out, "421 Misdirected Request", echo + "Target-Id: " + id + "\r\n", "");
      return;
    }
    if (!free.tryAcquire()) {
      if (waiting.get() >= 2 * slots) {
        record.line("shed", attempt, id);
        answer(out, "503 Service Unavailable", echo + "Not-Executed: 1\r\n", "");
        return;
      }
      waiting.incrementAndGet();
      free.acquire();
      waiting.decrementAndGet();
    }
    if (crashed) {
      return;
    }
    running.incrementAndGet();
    record.line("run", attempt, id);
    double factor;
    synchronized (random) {
      factor = 0.7 + 0.6 * random.nextDouble();
    }
    Thread.sleep((long) (workMillis * factor));
    running.decrementAndGet();
    free.release();
    if (toBreakOff.contains(attempt)) {
      breakOff(attempt, socket);
    } else if (!crashed) {
      answer(out, "200 OK", echo + "Response-Seal: " + id + "." + attempt + "\r\n", body());
      answered.incrementAndGet();
      record.line("ran", attempt, id);
    }
  }

  /** Sends half of an answer that has no length, and resets the connection. */
  private void breakOff(String attempt, Socket socket) throws IOException, InterruptedException {
    brokenOff.add(attempt);
    record.line("ran", attempt, id, "resets_after", bodyBytes / 2);
    socket
        .getOutputStream()
        .write(
            Http.bytes(
                "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s\r\n%s\r\n%s"
                    .formatted(
                        attempt,
                        id,
                        attempt,
                        "Connection: close\r\n",
                        body().substring(bodyBytes / 2))));
    Thread.sleep(20);
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private String body() {
    return "x".repeat(bodyBytes);
  }

  private void answer(OutputStream out, String status, String headers, String body)
      throws IOException {
    out.write(
        Http.bytes(
            "HTTP/1.1 %s\r\n%s%sTarget-Load: %d,%d,%d,100\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(
                    status, headers, keepAlive, running.get(), waiting.get(), slots, body.length(), body)));
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
