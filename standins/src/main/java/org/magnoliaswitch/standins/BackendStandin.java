package org.magnoliaswitch.standins;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.BackendConnection;
import org.magnoliaswitch.core.process.LoadReport;

/**
 * A simulated backend server with slots, random service times, load reports and injectable faults.
 */
final class BackendStandin extends Handler.Abstract {
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int DEFAULT_BODY_BYTES = 256;
  private static final long DEFAULT_WAIT_MILLIS = 30_000;
  private static final long LATE_ANSWER_DELAY_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final int NOISE_PERIOD_MILLIS = 8;
  private static final double NOISE_SLOWDOWN = 4.0;
  private static final double NOISE_SHARE = 0.15;

  /** The counts of a stand-in, written as JSON for experiments. */
  record Counts(
      String id, long executed, long shed, long expired, long cut, long probes, int held) {}

  private record Sample(long timeNanos, int inFlight) {}

  private final String id;
  private final BackendBehaviour behaviour;
  private final SlotQueue slots;
  private final ExecutionCounter executions;
  private final Clocks clocks;
  private final SplittableRandom random;
  private final LongAdder executed = new LongAdder();
  private final LongAdder shed = new LongAdder();
  private final LongAdder expired = new LongAdder();
  private final LongAdder cut = new LongAdder();
  private final LongAdder probeNanos = new LongAdder();
  private final LongAdder busyNanos = new LongAdder();
  private final AtomicLong lastWorkMillis = new AtomicLong();
  private final ConcurrentLinkedQueue<Long> probeMillis = new ConcurrentLinkedQueue<>();
  private final Deque<Sample> samples = new ArrayDeque<>();
  private volatile ServerFaults faults = ServerFaults.NONE;

  BackendStandin(
      String id, BackendBehaviour behaviour, ExecutionCounter executions, Clocks clocks) {
    super(InvocationType.BLOCKING);
    this.id = id;
    this.behaviour = behaviour;
    this.executions = executions;
    this.clocks = clocks;
    this.slots = new SlotQueue(behaviour.slots(), behaviour.queue());
    this.random = new SplittableRandom(behaviour.seed() ^ id.hashCode());
  }

  String id() {
    return id;
  }

  void setFaults(ServerFaults next) {
    faults = next;
  }

  ServerFaults faults() {
    return faults;
  }

  int inFlight() {
    return slots.inFlight();
  }

  Counts counts() {
    return new Counts(
        id,
        executed.sum(),
        shed.sum(),
        expired.sum(),
        cut.sum(),
        probeMillis.size(),
        slots.inFlight());
  }

  /** Returns the wall-clock time at which the last request other than a probe arrived. */
  long lastWorkMillis() {
    return lastWorkMillis.get();
  }

  double probeSeconds() {
    return probeNanos.sum() / 1e9;
  }

  double busySeconds() {
    return busyNanos.sum() / 1e9;
  }

  ConcurrentLinkedQueue<Long> probeMillis() {
    return probeMillis;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    ServerFaults current = faults;
    long openedMillis = request.getConnectionMetaData().getConnection().getCreatedTimeStamp();
    if (openedMillis < current.silentBefore()) {
      hang(request);
      callback.failed(new IllegalStateException("silent connection"));
      return true;
    }
    if (Request.getPathInContext(request).equals("/load")) {
      probeMillis.add(clocks.millis());
      long startNanos = clocks.nanos();
      send(response, callback, OK, new byte[0]);
      probeNanos.add(clocks.nanos() - startNanos);
      return true;
    }
    lastWorkMillis.set(clocks.millis());
    discardBody(request);
    if (current.rejectShare() > 0 && occurs(current.rejectShare())) {
      shed.increment();
      send(response, callback, SERVICE_UNAVAILABLE, "rejected\n".getBytes(StandardCharsets.UTF_8));
      return true;
    }
    serve(request, response, callback, current);
    return true;
  }

  private void serve(Request request, Response response, Callback callback, ServerFaults current) {
    if (!slots.tryEnter()) {
      shed.increment();
      send(response, callback, SERVICE_UNAVAILABLE, "full\n".getBytes(StandardCharsets.UTF_8));
      return;
    }
    try {
      if (!slots.tryAcquireSlot(waitMillis(request))) {
        expired.increment();
        send(response, callback, SERVICE_UNAVAILABLE, "expired\n".getBytes(StandardCharsets.UTF_8));
        return;
      }
      try {
        execute(request);
      } finally {
        slots.releaseSlot();
      }
    } finally {
      slots.leave();
    }
    respond(request, response, callback, current);
  }

  private void execute(Request request) {
    executed.increment();
    String operation = request.getHeaders().get("Operation-Id");
    executions.recordExecution(operation == null ? "" : operation);
    long nanos = (long) (serviceMillis() * 1e6);
    busyNanos.add(nanos);
    long endNanos = clocks.nanos() + nanos;
    for (long remaining = nanos; remaining > 0; remaining = endNanos - clocks.nanos()) {
      LockSupport.parkNanos(remaining);
    }
  }

  private void respond(
      Request request, Response response, Callback callback, ServerFaults current) {
    byte[] body = answerBody(request);
    if (current.lateShare() > 0 && occurs(current.lateShare())) {
      LockSupport.parkNanos(LATE_ANSWER_DELAY_NANOS);
    }
    if (current.cutShare() > 0 && occurs(current.cutShare())) {
      cut.increment();
      sendTruncated(response, callback, body);
      return;
    }
    send(response, callback, OK, body);
  }

  private void sendTruncated(Response response, Callback callback, byte[] body) {
    writeHead(response, OK);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    try {
      Content.Sink.write(response, false, ByteBuffer.wrap(body, 0, body.length / 2));
    } catch (java.io.IOException e) {
      callback.failed(e);
      return;
    }
    callback.failed(new IllegalStateException("cut short"));
  }

  private void send(Response response, Callback callback, int status, byte[] body) {
    writeHead(response, status);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  private void writeHead(Response response, int status) {
    ServerFaults current = faults;
    response.setStatus(status);
    int inFlight = current.lie() ? 0 : laggedInFlight(current.lagMillis());
    LoadReport report = new LoadReport(inFlight, slots.capacity(), current.draining());
    response.getHeaders().put(new HttpField(LoadReport.HEADER, report.format()));
    response.getHeaders().put("Server-Id", id);
    String requestId = response.getRequest().getHeaders().get(BackendConnection.ID_HEADER);
    if (requestId != null) {
      // Entries reuse the connections of servers that echo the id only.
      response.getHeaders().put(BackendConnection.ID_HEADER, requestId);
    }
    if (current.draining()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  /**
   * Returns the number of requests in flight {@code lagMillis} ago. Samples are taken only when a
   * load report is created, so the actual lag may be shorter.
   */
  private int laggedInFlight(int lagMillis) {
    if (lagMillis == 0) {
      return slots.inFlight();
    }
    long now = clocks.nanos();
    long sampleNanos = now - TimeUnit.MILLISECONDS.toNanos(lagMillis);
    synchronized (samples) {
      samples.addLast(new Sample(now, slots.inFlight()));
      while (samples.size() > 1 && samples.peekFirst().timeNanos() < sampleNanos) {
        samples.removeFirst();
      }
      return samples.peekFirst().inFlight();
    }
  }

  private double serviceMillis() {
    double gaussian;
    synchronized (random) {
      gaussian = random.nextGaussian();
    }
    double sigma = behaviour.spread();
    double logNormal = Math.exp(sigma * gaussian - sigma * sigma / 2);
    return behaviour.serviceMillis() * logNormal * faults.slowdown() * noiseFactor();
  }

  /** Simulates a noisy neighbour: returns the factor on the service time in the current period. */
  private double noiseFactor() {
    if (!faults.noise()) {
      return 1;
    }
    long period = clocks.millis() / (NOISE_PERIOD_MILLIS * 10L);
    double randomValue =
        new SplittableRandom(behaviour.seed() * 31 + id.hashCode() + period).nextDouble();
    return randomValue < NOISE_SHARE ? NOISE_SLOWDOWN : 1;
  }

  private boolean occurs(double probability) {
    synchronized (random) {
      return random.nextDouble() < probability;
    }
  }

  private static void discardBody(Request request) throws java.io.IOException {
    if (request.getLength() != 0) {
      byte[] unused = Content.Source.asInputStream(request).readNBytes(MAX_BODY_BYTES);
    }
  }

  private static long waitMillis(Request request) {
    String timeout = request.getHeaders().get("Request-Timeout-Ms");
    return timeout == null ? DEFAULT_WAIT_MILLIS : Long.parseLong(timeout);
  }

  /**
   * Returns a body that contains the operation's id, so that the caller can verify that the answer
   * is complete and its own.
   */
  static byte[] answerBody(Request request) {
    String operation = String.valueOf(request.getHeaders().get("Operation-Id"));
    String requestedSize = Request.extractQueryParameters(request).getValue("size");
    int size =
        requestedSize == null
            ? DEFAULT_BODY_BYTES
            : Math.min(MAX_BODY_BYTES, Integer.parseInt(requestedSize));
    return AnswerBody.of(operation, size);
  }

  private static void hang(Request request) throws InterruptedException {
    var endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    long maxWaits = TimeUnit.SECONDS.toMillis(60) / 50;
    for (long i = 0; i < maxWaits && endPoint.isOpen(); i++) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
    }
  }
}
