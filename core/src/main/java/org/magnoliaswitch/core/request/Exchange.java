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

/**
 * One request and its answer on one connection.
 *
 * <p>The connection goes back to its pool only after a whole answer. In every other case it is
 * closed, so that a late or half-read answer can never meet another request.
 */
public final class Exchange {
  /** Larger answers are passed on while they arrive. */
  public static final int MAX_BUFFERED_BYTES = 64 * 1024;

  private final ConnectionPool pool;
  private final Clocks clocks;
  private final Deadline deadline;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicBoolean cancelled = new AtomicBoolean();
  private volatile @Nullable BackendConnection connection;
  private volatile boolean mayHaveSentBytes;

  public Exchange(ConnectionPool pool, Deadline deadline, Clocks clocks) {
    this.pool = pool;
    this.deadline = deadline;
    this.clocks = clocks;
  }

  /** What the head of a response told. */
  public record Head(ClassicHttpResponse response) {}

  /** Whether anything may have reached the server. */
  public boolean mayHaveSentBytes() {
    return mayHaveSentBytes;
  }

  /** When the connection in use was opened, or the time now when there is none. */
  public long connectionOpenedNanos() {
    BackendConnection used = connection;
    return used == null ? clocks.nanos() : used.openedNanos();
  }

  /** Takes or opens a connection. */
  public void connect(long maxIdleNanos, int connectTimeoutMillis) throws IOException {
    long left = TimeUnit.NANOSECONDS.toMillis(deadline.remaining(clocks.nanos()));
    int timeout = (int) Math.max(1, Math.min(connectTimeoutMillis, left));
    connection = pool.acquire(maxIdleNanos, timeout);
    if (cancelled.get()) {
      releaseConnection(false);
      throw new IOException("cancelled");
    }
  }

  /**
   * Sends the request.
   *
   * <p>The deadline is looked at last of all: a process that was paused after it decided to send
   * must not do so when the caller has long been told otherwise.
   */
  public void send(ClassicHttpRequest request) throws IOException, HttpException {
    if (deadline.expired(clocks.nanos())) {
      throw new SocketTimeoutException("the deadline passed before sending");
    }
    BackendConnection used = activeConnection();
    mayHaveSentBytes = true;
    used.send(request);
  }

  /**
   * Waits for the response head.
   *
   * @return nothing when the wait was over first; it can be called again
   */
  public @Nullable Head awaitHead(long waitNanos) throws IOException, HttpException {
    BackendConnection used = activeConnection();
    long left = Math.min(waitNanos, deadline.remaining(clocks.nanos()));
    if (left <= 0) {
      return null;
    }
    used.setReadTimeout(left);
    try {
      return new Head(used.receiveHead());
    } catch (SocketTimeoutException e) {
      return null;
    }
  }

  /** Reads a small body whole, or hands a large one on as a stream. */
  public Reply receive(Head head, String method) throws IOException, HttpException {
    BackendConnection used = activeConnection();
    ClassicHttpResponse response = head.response();
    List<Field> fields = endToEndFields(response);
    if (!hasBody(response, method)) {
      releaseAfter(response);
      return new Reply(
          response.getCode(), fields, new Reply.Body.Buffered(new byte[0]), Outcome.EXECUTED);
    }
    used.receiveBody(response);
    HttpEntity entity = response.getEntity();
    if (entity.getContentLength() < 0 && !entity.isChunked()) {
      // Without a length or chunks the end of the connection ends the body, so a body cut short
      // could not be told from a whole one.
      throw new IOException("the answer has neither a length nor chunks");
    }
    InputStream content = new DeadlineStream(entity.getContent(), used);
    byte[] start = readStart(content, entity.getContentLength());
    if (start.length < MAX_BUFFERED_BYTES) {
      releaseAfter(response);
      return new Reply(
          response.getCode(), fields, new Reply.Body.Buffered(start), Outcome.EXECUTED);
    }
    InputStream whole =
        new java.io.SequenceInputStream(new java.io.ByteArrayInputStream(start), content);
    Reply.CompletionListener end = read -> finishStream(read, response);
    return new Reply(
        response.getCode(),
        fields,
        new Reply.Body.Streaming(whole, entity.getContentLength(), end),
        Outcome.EXECUTED);
  }

  /**
   * Reading without a known length takes 16 KB of heap at a time, most of an exchange's garbage.
   */
  private static byte[] readStart(InputStream content, long length) throws IOException {
    if (length < 0 || length >= MAX_BUFFERED_BYTES) {
      return content.readNBytes(MAX_BUFFERED_BYTES);
    }
    byte[] whole = new byte[(int) length];
    if (content.readNBytes(whole, 0, whole.length) < whole.length) {
      throw new IOException("the answer was cut short");
    }
    return whole;
  }

  /** Closes the connection under an exchange that is no longer wanted; safe from any thread. */
  public void cancel() {
    cancelled.set(true);
    releaseConnection(false);
  }

  /** Whether {@link #cancel()} was called. */
  public boolean wasCancelled() {
    return cancelled.get();
  }

  /** Ends the exchange without a whole answer. */
  public void fail() {
    releaseConnection(false);
  }

  /** Builds the request as it goes to the server. */
  public static ClassicHttpRequest outbound(InboundRequest request, List<Field> extra) {
    BasicClassicHttpRequest outbound =
        new BasicClassicHttpRequest(request.method(), request.target());
    request.fields().stream()
        .filter(field -> !field.hopByHop())
        .forEach(field -> outbound.addHeader(field.name(), field.value()));
    extra.forEach(field -> outbound.setHeader(field.name(), field.value()));
    switch (request.body()) {
      case InboundRequest.Body.Buffered whole -> {
        boolean sendsLength = whole.content().length > 0 || !Method.GET.isSame(request.method());
        if (sendsLength) {
          outbound.setHeader(HttpHeaders.CONTENT_LENGTH, String.valueOf(whole.content().length));
          outbound.setEntity(new ByteArrayEntity(whole.content(), null));
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

  private void finishStream(boolean read, ClassicHttpResponse response) {
    if (read) {
      releaseAfter(response);
    } else {
      releaseConnection(false);
    }
  }

  private void releaseAfter(ClassicHttpResponse response) {
    boolean keep =
        DefaultConnectionReuseStrategy.INSTANCE.keepAlive(null, response, HttpCoreContext.create());
    releaseConnection(keep);
  }

  private void releaseConnection(boolean keep) {
    BackendConnection used = connection;
    if (used == null || !ended.compareAndSet(false, true)) {
      return;
    }
    if (keep) {
      pool.release(used);
    } else {
      pool.discard(used);
    }
  }

  private BackendConnection activeConnection() throws IOException {
    BackendConnection used = connection;
    if (used == null || ended.get()) {
      throw new IOException("the exchange has ended");
    }
    return used;
  }

  private static List<Field> endToEndFields(ClassicHttpResponse response) {
    List<Field> fields = new ArrayList<>();
    for (Header header : response.getHeaders()) {
      Field field = new Field(header.getName(), header.getValue() == null ? "" : header.getValue());
      if (!field.hopByHop()) {
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

  /** Bounds every read by what is left of the deadline. */
  private final class DeadlineStream extends java.io.FilterInputStream {
    private final BackendConnection used;

    private DeadlineStream(InputStream in, BackendConnection used) {
      super(in);
      this.used = used;
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
      long left = deadline.remaining(clocks.nanos());
      if (left <= 0) {
        throw new SocketTimeoutException("the deadline passed within the answer");
      }
      used.setReadTimeout(left);
    }
  }
}
