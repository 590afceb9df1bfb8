package org.magnoliaswitch.entry;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
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
import org.magnoliaswitch.core.request.AttemptRunner;
import org.magnoliaswitch.core.request.Field;
import org.magnoliaswitch.core.request.InboundRequest;
import org.magnoliaswitch.core.request.Outcome;
import org.magnoliaswitch.core.request.Reply;
import org.magnoliaswitch.core.request.RequestService;

/** Reads the request of a caller, passes it to the {@link RequestService} and writes the reply. */
final class CallerHandler extends Handler.Abstract {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int COPY_BUFFER_BYTES = 16 * 1024;
  private static final int BAD_REQUEST = 400;

  private static final int UNAVAILABLE = 503;

  /**
   * Maximum heap used by a request in flight, including the buffers of its two connections (to the
   * caller and to the backend server).
   */
  private static final long REQUEST_BYTES = 160 * 1024;

  /**
   * Maximum number of requests in flight. Without this limit, an instance that is slower than its
   * load, for instance just after its start, accumulates requests until its heap is full and it
   * answers none of them.
   */
  private static final long MAX_IN_FLIGHT = Runtime.getRuntime().maxMemory() / REQUEST_BYTES;

  /** Header of a response with a key that the caller may use for its next request. */
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

  void setMetrics(EntryMetrics newMetrics) {
    metrics = newMetrics;
  }

  int inFlight() {
    return inFlight.get();
  }

  void markNotReady() {
    ready = false;
  }

  private boolean ready() {
    return ready && control.ready();
  }

  /**
   * Returns a future that completes when no request is in flight. It may be called only once, after
   * the listener has stopped accepting connections.
   */
  CompletableFuture<Void> whenIdle() {
    CompletableFuture<Void> future = new CompletableFuture<>();
    idle.set(future);
    if (inFlight.get() == 0) {
      future.complete(null);
    }
    return future;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    boolean overloaded = inFlight.incrementAndGet() > MAX_IN_FLIGHT;
    long startNanos = control.clocks().nanos();
    try {
      Reply reply = withRequestId(request, overloaded ? rejectOverload(request) : serve(request));
      write(request, response, reply);
      recordMetrics(reply, startNanos);
      callback.succeeded();
    } catch (IOException | RuntimeException e) {
      // Failing the callback aborts the connection, so that the caller cannot mistake a truncated
      // response for a complete one.
      logger.atFine().withCause(e).log("event=answer_cut");
      callback.failed(e);
    } finally {
      requestFinished();
    }
    return true;
  }

  /**
   * Returns the reply with the id of the request. Another entry that has forwarded the request does
   * not accept a reply without it on a connection that it uses again.
   */
  private static Reply withRequestId(Request request, Reply reply) {
    boolean present = reply.fields().stream().anyMatch(f -> f.hasName(AttemptRunner.ID_HEADER));
    Optional<String> id = RequestReader.requestedId(request);
    return present || id.isEmpty()
        ? reply
        : reply.withField(new Field(AttemptRunner.ID_HEADER, id.get()));
  }

  private void requestFinished() {
    if (inFlight.decrementAndGet() == 0) {
      CompletableFuture<Void> future = idle.get();
      if (future != null) {
        future.complete(null);
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
        case RequestReader.Reading.Accepted accepted -> forward(accepted.request());
        case RequestReader.Reading.Rejected rejected -> rejected.reply();
      };
    } catch (IOException e) {
      return Reply.local(BAD_REQUEST, Outcome.NOT_EXECUTED, "the request was cut short", 0);
    }
  }

  /**
   * Rejects a request because too many are in flight. If the load balancer resends requests,
   * another entry may be executing a copy of a request with a key, so its outcome is unknown.
   */
  private Reply rejectOverload(Request request) {
    boolean provablyNotExecuted =
        !balancerResends || !request.getHeaders().contains("Idempotency-Key");
    Outcome outcome = provablyNotExecuted ? Outcome.NOT_EXECUTED : Outcome.UNKNOWN;
    return Reply.local(UNAVAILABLE, outcome, "too many requests at once", 1);
  }

  private Reply forward(InboundRequest inbound) {
    Reply reply = requests.serve(inbound);
    Reply withRequestId = reply.withField(new Field(AttemptRunner.ID_HEADER, inbound.id()));
    // Only the instance that issued a key may execute its request, so a stopping instance issues no
    // keys: it may be gone before they are used.
    return inbound.idempotent() || !ready
        ? withRequestId
        : withRequestId.withField(new Field(ISSUED_KEY, control.issuer().issue()));
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
      case Reply.Body.Buffered buffered -> {
        if (hasBody(request, reply)) {
          fields.put(HttpHeader.CONTENT_LENGTH, buffered.content().length);
        }
        Content.Sink.write(response, true, ByteBuffer.wrap(buffered.content()));
      }
      case Reply.Body.Streaming streaming -> copy(response, streaming);
    }
  }

  /** Whether the response has a body and thus a Content-Length field (RFC 9110, section 8.6). */
  private static boolean hasBody(Request request, Reply reply) {
    return !request.getMethod().equals("HEAD")
        && reply.status() != HttpStatus.NO_CONTENT_204
        && reply.status() != HttpStatus.NOT_MODIFIED_304;
  }

  private static void copy(Response response, Reply.Body.Streaming body) throws IOException {
    if (body.length() >= 0) {
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length());
    }
    boolean complete = false;
    try (InputStream in = body.stream()) {
      byte[] buffer = new byte[COPY_BUFFER_BYTES];
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        Content.Sink.write(response, false, ByteBuffer.wrap(buffer, 0, read));
      }
      complete = true;
    } finally {
      body.completion().completed(complete);
    }
    Content.Sink.write(response, true, ByteBuffer.allocate(0));
  }

  private void recordMetrics(Reply reply, long startNanos) {
    EntryMetrics currentMetrics = metrics;
    if (currentMetrics != null) {
      currentMetrics.recordReply(reply, control.clocks().nanos() - startNanos);
    }
  }
}
