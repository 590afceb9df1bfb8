import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A target of a service, as PROTOCOL.md describes it. */
final class Target implements AutoCloseable {
  /** What a faulty target does with an answer. */
  interface Fault {
    /**
     * Returns bytes that the target sends beside an answer; none if it sends the answer alone.
     *
     * @param answer the complete answer
     */
    byte[] extra(Target target, byte[] answer);

    /** Whether the bytes are sent where the next answer is expected, or right after this one. */
    boolean late();
  }

  /** A target that is not faulty. */
  static final Fault SOUND =
      new Fault() {
        @Override
        public byte[] extra(Target target, byte[] answer) {
          return new byte[0];
        }

        @Override
        public boolean late() {
          return false;
        }
      };

  /** Is told what runs. */
  interface Runs {
    void started(Target target, Http.Message request);
  }

  /**
   * How a target works.
   *
   * @param slots requests that run at a time
   * @param queue further requests that wait
   * @param workMillis usual time of a run
   * @param failures share of the runs that end with status 500
   * @param tellsLoad whether answers carry the load
   */
  record Work(int slots, int queue, int workMillis, double failures, boolean tellsLoad) {}

  private static final int IDLE_CLOSE_MILLIS = 10_000;

  private final String id;
  private final String service;
  private final String zone;
  private final Work work;
  private final Fault fault;
  private final Runs runs;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final java.util.concurrent.Semaphore free;
  final AtomicInteger rejected = new AtomicInteger();
  private int sequence;

  Target(String id, String service, String zone, String ip, Work work, Fault fault, Runs runs)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.work = work;
    this.fault = fault;
    this.runs = runs;
    this.free = new java.util.concurrent.Semaphore(work.slots(), true);
    this.listener = new ServerSocket(0, 200, InetAddress.getByName(ip));
    Thread.ofVirtual().start(this::accept);
  }

  String id() {
    return id;
  }

  /** The entry that the target writes to the store with each heartbeat. */
  synchronized String entry() {
    InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
    sequence++;
    return """
        {"backend":"%s","address":"%s:%d","zone":"%s","config_version":"v1","capacity":%d,\
        "state":"ready","warmup_left":"0ms","sequence":%d}"""
        .formatted(
            service,
            address.getAddress().getHostAddress(),
            address.getPort(),
            zone,
            work.slots(),
            sequence);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(IDLE_CLOSE_MILLIS);
        connections.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    byte[] held = new byte[0];
    try (socket) {
      InputStream in = Http.buffered(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        if (held.length > 0) {
          out.write(held);
          held = new byte[0];
        }
        byte[] answer = answer(request);
        out.write(answer);
        byte[] extra = request.second().equals("/health") ? held : fault.extra(this, answer);
        if (fault.late()) {
          held = extra;
        } else if (extra.length > 0) {
          out.write(extra);
        }
      }
    } catch (IOException | InterruptedException e) {
      // The instance has closed the connection, or it was idle.
    } finally {
      connections.remove(socket);
    }
  }

  private byte[] answer(Http.Message request) throws InterruptedException {
    if (request.second().equals("/health")) {
      return Http.message("HTTP/1.1 200 OK", "Target-Id: " + id + "\r\n" + load(), new byte[0]);
    }
    String expected = request.header("expected-target");
    if (!expected.isEmpty() && !expected.equals(id)) {
      return Http.message(
          "HTTP/1.1 421 Misdirected Request", "Target-Id: " + id + "\r\n", new byte[0]);
    }
    if (!free.tryAcquire()) {
      if (waiting.incrementAndGet() > work.queue()) {
        waiting.decrementAndGet();
        rejected.incrementAndGet();
        return Http.message(
            "HTTP/1.1 503 Service Unavailable", "Not-Executed: 1\r\n", new byte[0]);
      }
      free.acquire();
      waiting.decrementAndGet();
    }
    running.incrementAndGet();
    try {
      return run(request);
    } finally {
      running.decrementAndGet();
      free.release();
    }
  }

  private byte[] run(Http.Message request) throws InterruptedException {
    runs.started(this, request);
    ThreadLocalRandom random = ThreadLocalRandom.current();
    TimeUnit.MILLISECONDS.sleep(random.nextInt(work.workMillis() / 2, work.workMillis() * 3 / 2));
    String attempt = request.header("attempt-id");
    boolean fails = random.nextDouble() < work.failures();
    byte[] body = Http.bytes(fails ? "" : "answer of " + id + " to " + attempt);
    String seal = "%s.%d.%d".formatted(id, fails ? 500 : 200, body.length);
    return Http.message(
        fails ? "HTTP/1.1 500 Internal Server Error" : "HTTP/1.1 200 OK",
        "Attempt-Id: " + attempt + "\r\nResponse-Seal: " + seal + "\r\n" + load(),
        body);
  }

  private String load() {
    return work.tellsLoad()
        ? "Target-Load: %d,%d,%d,100\r\n".formatted(running.get(), waiting.get(), work.slots())
        : "";
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
