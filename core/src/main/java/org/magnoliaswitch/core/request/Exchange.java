package org.magnoliaswitch.core.request;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.BackendConnection;
import org.magnoliaswitch.core.connection.ConnectionPool;
import org.magnoliaswitch.core.connection.RefusedResponse;

/**
 * One request and its response on one connection.
 *
 * <p>The connection returns to its pool only after a complete response. In every other case it is
 * closed, so that a late or partly read response is never taken for the response to another
 * request. {@link BackendConnection} checks that a response belongs to the request.
 */
public final class Exchange {
  /**
   * Size in bytes. Bodies of idempotent requests up to this size are buffered; responses of this
   * size or larger are streamed.
   */
  public static final int MAX_BUFFERED_BYTES = 64 * 1024;

  private final ConnectionPool pool;
  private final Clocks clocks;
  private final Deadline deadline;
  private final AtomicBoolean released = new AtomicBoolean();
  private final AtomicBoolean cancelled = new AtomicBoolean();
  private volatile @Nullable BackendConnection connection;
  private volatile boolean mayHaveSentBytes;

  public Exchange(ConnectionPool pool, Deadline deadline, Clocks clocks) {
    this.pool = pool;
    this.deadline = deadline;
    this.clocks = clocks;
  }

  /** Status and headers of a response. */
  public record Head(ClassicHttpResponse response) {}

  /** Whether any part of the request may have reached the server. */
  public boolean mayHaveSentBytes() {
    return mayHaveSentBytes;
  }

  /** The responses of the server that were not passed on. */
  public List<RefusedResponse> refusedResponses() {
    BackendConnection current = connection;
    return current == null ? List.of() : current.refused();
  }

  /** When the current connection was opened, or the current time if there is none. */
  public long connectionOpenedNanos() {
    BackendConnection current = connection;
    return current == null ? clocks.nanos() : current.openedNanos();
  }

  /** Acquires an idle connection that has not carried the request's id, or opens a new one. */
  public void connect(long maxIdleNanos, int connectTimeoutMillis, String requestId)
      throws IOException {
    long remaining = TimeUnit.NANOSECONDS.toMillis(deadline.remaining(clocks.nanos()));
    int timeout = (int) Math.max(1, Math.min(connectTimeoutMillis, remaining));
    connection = pool.acquire(maxIdleNanos, timeout, requestId);
    if (cancelled.get()) {
      releaseConnection(false);
      throw new IOException("the exchange was cancelled");
    }
  }

  /**
   * Sends the request.
   *
   * <p>The deadline is checked immediately before writing: a process that was paused after it
   * decided to send must not send after its caller has received another answer.
   */
  public void send(ClassicHttpRequest request) throws IOException, HttpException {
    if (deadline.expired(clocks.nanos())) {
      throw new SocketTimeoutException("the deadline passed before the request was sent");
    }
    BackendConnection current = activeConnection();
    mayHaveSentBytes = true;
    current.send(request);
  }

  /**
   * Waits for the response head.
   *
   * @return null if the wait ended first; the method can then be called again
   */
  public @Nullable Head awaitHead(long waitNanos) throws IOException, HttpException {
    BackendConnection current = activeConnection();
    long remaining = Math.min(waitNanos, deadline.remaining(clocks.nanos()));
    if (remaining <= 0) {
      return null;
    }
    current.setReadTimeout(remaining);
    try {
      return new Head(current.receiveHead());
    } catch (SocketTimeoutException e) {
      return null;
    } finally {
      if (current.receivedWithoutId()) {
        pool.recordUnidentified();
      }
    }
  }

  /** Reads a small body completely, or returns a large one as a stream. */
  public Reply receive(Head head, String method) throws IOException, HttpException {
    BackendConnection current = activeConnection();
    ClassicHttpResponse response = head.response();
    List<Field> fields = endToEndFields(response);
    if (!hasBody(response, method)) {
      releaseAfter(response);
      return new Reply(
          response.getCode(), fields, new Reply.Body.Buffered(new byte[0]), Outcome.EXECUTED);
    }
    current.receiveBody(response);
    HttpEntity entity = response.getEntity();
    if (entity.getContentLength() < 0 && !entity.isChunked()) {
      // Without a length or chunks the end of the connection ends the body, so a truncated body
      // could not be distinguished from a complete one.
      throw new IOException("the response body has neither a Content-Length nor chunks");
    }
    InputStream content = new DeadlineStream(entity.getContent(), current);
    byte[] start = readStart(content, entity.getContentLength());
    if (start.length < MAX_BUFFERED_BYTES) {
      releaseAfter(response);
      return new Reply(
          response.getCode(), fields, new Reply.Body.Buffered(start), Outcome.EXECUTED);
    }
    InputStream body =
        new java.io.SequenceInputStream(new java.io.ByteArrayInputStream(start), content);
    Reply.CompletionListener listener = complete -> finishStream(complete, response);
    return new Reply(
        response.getCode(),
        fields,
        new Reply.Body.Streaming(body, entity.getContentLength(), listener),
        Outcome.EXECUTED);
  }

  /**
   * Reads the body, or the beginning of a large one. A body of known length is read into an array
   * of that length, because reading without a length allocates 16 KB at a time, most of the garbage
   * of an exchange.
   */
  private static byte[] readStart(InputStream content, long length) throws IOException {
    if (length < 0 || length >= MAX_BUFFERED_BYTES) {
      return content.readNBytes(MAX_BUFFERED_BYTES);
    }
    byte[] body = new byte[(int) length];
    if (content.readNBytes(body, 0, body.length) < body.length) {
      throw new IOException("the response body is shorter than its Content-Length");
    }
    return body;
  }

  /** Cancels the exchange by closing its connection; may be called by any thread. */
  public void cancel() {
    cancelled.set(true);
    releaseConnection(false);
  }

  /** Whether {@link #cancel()} was called. */
  public boolean wasCancelled() {
    return cancelled.get();
  }

  /** Closes the connection of an exchange without a complete response. */
  public void fail() {
    releaseConnection(false);
  }

  /** Builds the request that is sent to the server. */
  public static ClassicHttpRequest outbound(InboundRequest request, List<Field> extra) {
    BasicClassicHttpRequest outbound =
        new BasicClassicHttpRequest(request.method(), request.target());
    request.fields().stream()
        .filter(field -> !field.hopByHop())
        .forEach(field -> outbound.addHeader(field.name(), field.value()));
    extra.forEach(field -> outbound.setHeader(field.name(), field.value()));
    switch (request.body()) {
      case InboundRequest.Body.Buffered buffered -> {
        boolean sendsLength = buffered.content().length > 0 || !Method.GET.isSame(request.method());
        if (sendsLength) {
          outbound.setHeader(HttpHeaders.CONTENT_LENGTH, String.valueOf(buffered.content().length));
          outbound.setEntity(new ByteArrayEntity(buffered.content(), null));
        }
      }
      case InboundRequest.Body.Streaming streaming -> {
        if (streaming.length() >= 0) {
          outbound.setHeader(HttpHeaders.CONTENT_LENGTH, String.valueOf(streaming.length()));
        } else {
          outbound.setHeader(HttpHeaders.TRANSFER_ENCODING, "chunked");
        }
        outbound.setEntity(new InputStreamEntity(streaming.stream(), streaming.length(), null));
      }
    }
    return outbound;
  }

  private void finishStream(boolean complete, ClassicHttpResponse response) {
    if (complete) {
      releaseAfter(response);
    } else {
      releaseConnection(false);
    }
  }

  private void releaseAfter(ClassicHttpResponse response) {
    boolean keepAlive =
        DefaultConnectionReuseStrategy.INSTANCE.keepAlive(null, response, HttpCoreContext.create());
    releaseConnection(keepAlive);
  }

  private void releaseConnection(boolean keepAlive) {
    BackendConnection current = connection;
    if (current == null || !released.compareAndSet(false, true)) {
      return;
    }
    if (keepAlive) {
      pool.release(current);
    } else {
      pool.discard(current);
    }
  }

  private BackendConnection activeConnection() throws IOException {
    BackendConnection current = connection;
    if (current == null || released.get()) {
      throw new IOException("the exchange has no open connection");
    }
    return current;
  }

  /**
   * The fields for the caller. The id is left out: it is that of this exchange, and the answer may
   * be kept for a caller that repeats the request under another one.
   */
  private static List<Field> endToEndFields(ClassicHttpResponse response) {
    List<Field> fields = new ArrayList<>();
    for (Header header : response.getHeaders()) {
      Field field = new Field(header.getName(), header.getValue() == null ? "" : header.getValue());
      if (!field.hopByHop() && !field.hasName(BackendConnection.ID_HEADER)) {
        fields.add(field);
      }
    }
    return fields;
  }

  private static boolean hasBody(ClassicHttpResponse response, String method) {
    int status = response.getCode();
    return !Method.HEAD.isSame(method)
        && status != HttpStatus.SC_NO_CONTENT
        && status != HttpStatus.SC_NOT_MODIFIED;
  }

  /** Limits the duration of each read to the time that remains before the deadline. */
  private final class DeadlineStream extends java.io.FilterInputStream {
    private final BackendConnection current;

    private DeadlineStream(InputStream in, BackendConnection current) {
      super(in);
      this.current = current;
    }

    @Override
    public int read() throws IOException {
      updateReadTimeout();
      return super.read();
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      updateReadTimeout();
      return super.read(buffer, offset, length);
    }

    private void updateReadTimeout() throws IOException {
      long remaining = deadline.remaining(clocks.nanos());
      if (remaining <= 0) {
        throw new SocketTimeoutException(
            "the deadline passed before the response body was complete");
      }
      current.setReadTimeout(remaining);
    }
  }
}
