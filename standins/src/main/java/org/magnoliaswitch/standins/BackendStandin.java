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
import org.magnoliaswitch.core.process.LoadReport;

/** One backend server stand-in: slots, service times, load reports and faults. */
final class BackendStandin extends Handler.Abstract {
  private static final int OK = 200;
  private static final int SHED = 503;
  private static final int MAX_BODY = 4 * 1024 * 1024;
  private static final int DEFAULT_BODY = 256;
  private static final long DEFAULT_WAIT_MILLIS = 30_000;
  private static final long HELD_BACK_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final int NOISE_PERIOD_MILLIS = 8;
  private static final double NOISE_SLOWDOWN = 4.0;
  private static final double NOISE_SHARE = 0.15;

  /** Counts of one stand-in. */
  record Counts(
      String id, long executed, long shed, long expired, long cut, long probes, int held) {}

  private record Sample(long atNanos, int held) {}

  private final String id;
  private final BackendBehaviour behaviour;
  private final SlotQueue slots;
  private final Executions executions;
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

  BackendStandin(String id, BackendBehaviour behaviour, Executions executions, Clocks clocks) {
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

  void faults(ServerFaults next) {
    faults = next;
  }

  ServerFaults faults() {
    return faults;
  }

  int held() {
    return slots.held();
  }

  Counts counts() {
    return new Counts(
        id, executed.sum(), shed.sum(), expired.sum(), cut.sum(), probeMillis.size(), slots.held());
  }

  /** When the last request other than a probe arrived. */
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
    ServerFaults now = faults;
    long opened = request.getConnectionMetaData().getConnection().getCreatedTimeStamp();
    if (opened < now.silentBefore()) {
      hang(request);
      callback.failed(new IllegalStateException("silent connection"));
      return true;
    }
    if (Request.getPathInContext(request).equals("/load")) {
      probeMillis.add(clocks.millis());
      long began = clocks.nanos();
      answer(response, callback, OK, new byte[0]);
      probeNanos.add(clocks.nanos() - began);
      return true;
    }
    lastWorkMillis.set(clocks.millis());
    readAll(request);
    if (now.rejectShare() > 0 && chance(now.rejectShare())) {
      shed.increment();
      answer(response, callback, SHED, "rejected\n".getBytes(StandardCharsets.UTF_8));
      return true;
    }
    work(request, response, callback, now);
    return true;
  }

  private void work(Request request, Response response, Callback callback, ServerFaults now) {
    if (!slots.enter()) {
      shed.increment();
      answer(response, callback, SHED, "full\n".getBytes(StandardCharsets.UTF_8));
      return;
    }
    try {
      if (!slots.takeSlot(waitMillis(request))) {
        expired.increment();
        answer(response, callback, SHED, "expired\n".getBytes(StandardCharsets.UTF_8));
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
    respond(request, response, callback, now);
  }

  private void execute(Request request) {
    executed.increment();
    String operation = request.getHeaders().get("Operation-Id");
    executions.executed(operation == null ? "" : operation);
    long nanos = (long) (serviceMillis() * 1e6);
    busyNanos.add(nanos);
    long end = clocks.nanos() + nanos;
    for (long left = nanos; left > 0; left = end - clocks.nanos()) {
      LockSupport.parkNanos(left);
    }
  }

  private void respond(Request request, Response response, Callback callback, ServerFaults now) {
    byte[] body = body(request);
    if (now.lateShare() > 0 && chance(now.lateShare())) {
      LockSupport.parkNanos(HELD_BACK_NANOS);
    }
    if (now.cutShare() > 0 && chance(now.cutShare())) {
      cut.increment();
      cutShort(response, callback, body);
      return;
    }
    answer(response, callback, OK, body);
  }

  private void cutShort(Response response, Callback callback, byte[] body) {
    head(response, OK);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    try {
      Content.Sink.write(response, false, ByteBuffer.wrap(body, 0, body.length / 2));
    } catch (java.io.IOException e) {
      callback.failed(e);
      return;
    }
    callback.failed(new IllegalStateException("cut short"));
  }

  private void answer(Response response, Callback callback, int status, byte[] body) {
    head(response, status);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  private void head(Response response, int status) {
    ServerFaults now = faults;
    response.setStatus(status);
    int held = now.lie() ? 0 : reported(now.lagMillis());
    LoadReport report = new LoadReport(held, slots.capacity(), now.draining());
    response.getHeaders().put(new HttpField(LoadReport.HEADER, report.format()));
    response.getHeaders().put("Server-Id", id);
    if (now.draining()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  /** The load some milliseconds ago; samples are taken as reports are made. */
  private int reported(int lagMillis) {
    if (lagMillis == 0) {
      return slots.held();
    }
    long now = clocks.nanos();
    long wanted = now - TimeUnit.MILLISECONDS.toNanos(lagMillis);
    synchronized (samples) {
      samples.addLast(new Sample(now, slots.held()));
      while (samples.size() > 1 && samples.peekFirst().atNanos() < wanted) {
        samples.removeFirst();
      }
      return samples.peekFirst().held();
    }
  }

  private double serviceMillis() {
    double gaussian;
    synchronized (random) {
      gaussian = random.nextGaussian();
    }
    double sigma = behaviour.spread();
    double logNormal = Math.exp(sigma * gaussian - sigma * sigma / 2);
    return behaviour.serviceMillis() * logNormal * faults.slowdown() * noise();
  }

  /** A noisy neighbour: in some periods of a few milliseconds everything takes longer. */
  private double noise() {
    if (!faults.noise()) {
      return 1;
    }
    long period = clocks.millis() / (NOISE_PERIOD_MILLIS * 10L);
    double draw = new SplittableRandom(behaviour.seed() * 31 + id.hashCode() + period).nextDouble();
    return draw < NOISE_SHARE ? NOISE_SLOWDOWN : 1;
  }

  private boolean chance(double share) {
    synchronized (random) {
      return random.nextDouble() < share;
    }
  }

  private static void readAll(Request request) throws java.io.IOException {
    if (request.getLength() != 0) {
      byte[] unused = Content.Source.asInputStream(request).readNBytes(MAX_BODY);
    }
  }

  private static long waitMillis(Request request) {
    String left = request.getHeaders().get("Request-Timeout-Ms");
    return left == null ? DEFAULT_WAIT_MILLIS : Long.parseLong(left);
  }

  /** A body that names its request, so that a caller can tell its own whole answer. */
  static byte[] body(Request request) {
    String requestId = String.valueOf(request.getHeaders().get("Operation-Id"));
    String wanted = Request.extractQueryParameters(request).getValue("size");
    int size = wanted == null ? DEFAULT_BODY : Math.min(MAX_BODY, Integer.parseInt(wanted));
    return AnswerBody.of(requestId, size);
  }

  private static void hang(Request request) throws InterruptedException {
    var endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    long end = TimeUnit.SECONDS.toMillis(60) / 50;
    for (long i = 0; i < end && endPoint.isOpen(); i++) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
    }
  }
}
