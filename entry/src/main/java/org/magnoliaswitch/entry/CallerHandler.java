package org.magnoliaswitch.entry;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.request.Field;
import org.magnoliaswitch.core.request.InboundRequest;
import org.magnoliaswitch.core.request.Outcome;
import org.magnoliaswitch.core.request.Reply;
import org.magnoliaswitch.core.request.RequestService;

/** Reads a caller's request, has it served and writes the reply. */
final class CallerHandler extends Handler.Abstract {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int COPY_BYTES = 16 * 1024;
  private static final int BAD_REQUEST = 400;

  private static final int UNAVAILABLE = 503;

  /** Heap that a request in flight takes at most, buffers of both its connections included. */
  private static final long REQUEST_BYTES = 160 * 1024;

  /**
   * Requests served at once. Without a bound an instance that falls behind collects requests until
   * its heap is full and it answers nobody; found by the overhead experiment on a cold instance.
   */
  private static final long MAX_IN_FLIGHT = Runtime.getRuntime().maxMemory() / REQUEST_BYTES;

  /** A key that the caller may use for its next request. */
  private static final String ISSUED_KEY = "Issued-Idempotency-Key";

  private final boolean balancerResends;
  private final ControlPlane control;
  private final RequestService requests;
  private final RequestReader reader;
  private final KeyEndpoints keys;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicReference<@Nullable CompletableFuture<Void>> idle = new AtomicReference<>();
  private volatile boolean ready = true;
  private volatile @Nullable EntryMetrics metrics;

  CallerHandler(EntrySettings settings, ControlPlane control, RequestService requests) {
    super(InvocationType.BLOCKING);
    this.control = control;
    this.balancerResends = settings.callersBalancerResends();
    this.requests = requests;
    this.reader = new RequestReader(settings, control);
    this.keys = new KeyEndpoints(control, requests, this::ready);
  }

  void countWith(EntryMetrics counting) {
    metrics = counting;
  }

  int inFlight() {
    return inFlight.get();
  }

  void unready() {
    ready = false;
  }

  private boolean ready() {
    return ready && control.ready();
  }

  /** Completes when no request is in flight; call it once, when no more are accepted. */
  CompletableFuture<Void> idle() {
    CompletableFuture<Void> future = new CompletableFuture<>();
    idle.set(future);
    if (inFlight.get() == 0) {
      future.complete(null);
    }
    return future;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    boolean crowded = inFlight.incrementAndGet() > MAX_IN_FLIGHT;
    long started = control.clocks().nanos();
    try {
      Reply reply = crowded ? crowded(request) : serve(request);
      write(request, response, reply);
      count(reply, started);
      callback.succeeded();
    } catch (IOException | RuntimeException e) {
      // Failing the callback cuts the connection, so a cut answer cannot be taken for a whole one.
      logger.atFine().withCause(e).log("event=answer_cut");
      callback.failed(e);
    } finally {
      ended();
    }
    return true;
  }

  private void ended() {
    if (inFlight.decrementAndGet() == 0) {
      CompletableFuture<Void> waiting = idle.get();
      if (waiting != null) {
        waiting.complete(null);
      }
    }
  }

  private Reply serve(Request request) {
    String path = Request.getPathInContext(request);
    if (path.startsWith(KeyEndpoints.PREFIX)) {
      return keys.serve(request, path);
    }
    try {
      RequestReader.Reading reading = reader.read(request);
      return switch (reading) {
        case RequestReader.Reading.Usable usable -> served(usable.request());
        case RequestReader.Reading.Refused refused -> refused.reply();
      };
    } catch (IOException e) {
      return Reply.local(BAD_REQUEST, Outcome.NOT_EXECUTED, "the request was cut short", 0);
    }
  }

  /** Another copy of a keyed request may be at work elsewhere, when the balancer sends twice. */
  private Reply crowded(Request request) {
    boolean provable = !balancerResends || !request.getHeaders().contains("Idempotency-Key");
    Outcome outcome = provable ? Outcome.NOT_EXECUTED : Outcome.UNKNOWN;
    return Reply.local(UNAVAILABLE, outcome, "too many requests at once", 1);
  }

  private Reply served(InboundRequest inbound) {
    Reply reply = requests.serve(inbound);
    Reply named = reply.withField(new Field("X-Request-Id", inbound.id()));
    // A stopping instance issues no keys: they would outlive the only one that may execute them.
    return inbound.idempotent() || !ready
        ? named
        : named.withField(new Field(ISSUED_KEY, control.issuer().issue()));
  }

  private void write(Request request, Response response, Reply reply) throws IOException {
    response.setStatus(reply.status());
    HttpFields.Mutable fields = response.getHeaders();
    for (Field field : reply.fields()) {
      fields.add(field.name(), field.value());
    }
    fields.put(Outcome.HEADER, reply.outcome().text());
    fields.put(HttpHeader.VIA, "1.1 magnoliaswitch");
    if (!ready) {
      fields.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }
    switch (reply.body()) {
      case Reply.Body.Buffered whole -> {
        if (hasBody(request, reply)) {
          fields.put(HttpHeader.CONTENT_LENGTH, whole.content().length);
        }
        Content.Sink.write(response, true, ByteBuffer.wrap(whole.content()));
      }
      case Reply.Body.Streaming streaming -> copy(response, streaming);
    }
  }

  /** Answers without a body have no length of one either (RFC 9110, section 8.6). */
  private static boolean hasBody(Request request, Reply reply) {
    return !request.getMethod().equals("HEAD")
        && reply.status() != HttpStatus.NO_CONTENT_204
        && reply.status() != HttpStatus.NOT_MODIFIED_304;
  }

  private static void copy(Response response, Reply.Body.Streaming body) throws IOException {
    if (body.length() >= 0) {
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length());
    }
    boolean whole = false;
    try (InputStream in = body.stream()) {
      byte[] buffer = new byte[COPY_BYTES];
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        Content.Sink.write(response, false, ByteBuffer.wrap(buffer, 0, read));
      }
      whole = true;
    } finally {
      body.completion().completed(whole);
    }
    Content.Sink.write(response, true, ByteBuffer.allocate(0));
  }

  private void count(Reply reply, long started) {
    EntryMetrics counting = metrics;
    if (counting != null) {
      counting.answered(reply, control.clocks().nanos() - started);
    }
  }
}
