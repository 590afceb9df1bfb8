package org.magnoliaswitch.core.connection;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * One HTTP/1.1 connection to a backend server, used by one exchange at a time.
 *
 * <p>A server may send a second, late response to an earlier request in the place of the response
 * to the pending one. A response is therefore accepted only if it echoes the id of the pending
 * request; one with the id of an earlier request is skipped. One with an id that the connection
 * never carried ends the exchange: it may be the response to the pending request, so that a later
 * one would be a second one that differs. A response without an id is accepted only to the first
 * request on a connection, since nothing else can be answered there. After each of these, and after
 * HEAD, whose late response would have a length but no body, the connection carries no further
 * exchange. No connection carries an id twice.
 */
public final class BackendConnection {
  /** Request header with the id of the request, which the response must echo. */
  public static final String ID_HEADER = "X-Request-Id";

  /** Limit of informational responses and of responses to other requests in one exchange. */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  private static final Http1Config CONFIG =
      Http1Config.custom()
          .setBufferSize(8 * 1024)
          .setMaxHeaderCount(200)
          .setMaxLineLength(16 * 1024)
          .build();

  private final HttpConnection http;
  private final ServerBytes input;
  private final long openedNanos;
  private final boolean reusable;
  private final SentIds sentIds = new SentIds();
  private final StatusLineScanner skippedBytes = new StatusLineScanner();
  private final List<RefusedResponse> refused = new ArrayList<>();
  private volatile long lastSuccessNanos;
  private String pendingId = "";
  private boolean firstExchange = true;
  private boolean inSync = true;
  private boolean identified;
  private boolean receivedWithoutId;
  private int skipped;
  private @Nullable InputStream skippedBody;

  private BackendConnection(Socket socket, Clocks clocks, boolean reusable) throws IOException {
    this.input = new ServerBytes(socket, clocks);
    this.http = new HttpConnection(socket, input);
    this.reusable = reusable;
    this.openedNanos = clocks.nanos();
    this.lastSuccessNanos = openedNanos;
  }

  /** Takes over an open socket; closes it if that fails. */
  public static BackendConnection over(Socket socket, Clocks clocks) throws IOException {
    return over(socket, clocks, true);
  }

  /**
   * Takes over a socket that leads through a peer, for one exchange. Peers that stop wait for the
   * end of exchanges, and could not tell an idle connection from one in use.
   */
  public static BackendConnection throughPeer(Socket socket, Clocks clocks) throws IOException {
    return over(socket, clocks, false);
  }

  private static BackendConnection over(Socket socket, Clocks clocks, boolean reusable)
      throws IOException {
    try {
      socket.setTcpNoDelay(true);
      return new BackendConnection(socket, clocks, reusable);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Whether another exchange may follow the complete response to the last one. */
  public boolean reusable() {
    return reusable && inSync && !sentIds.isFull();
  }

  /** Whether a request with this id was sent before, whose late response would have it, too. */
  boolean hasCarried(String requestId) {
    return sentIds.contains(requestId);
  }

  /** Whether the last response that was accepted has echoed the id of its request. */
  public boolean identified() {
    return identified;
  }

  /** Whether the server has sent a response without an id in the last exchange. */
  public boolean receivedWithoutId() {
    return receivedWithoutId;
  }

  /** The responses that were not passed on in the last exchange. */
  public List<RefusedResponse> refused() {
    return List.copyOf(refused);
  }

  /**
   * Sends a complete request; parts of it may have reached the server as soon as this method is
   * called. The response must echo the request's {@link #ID_HEADER}.
   */
  public void send(ClassicHttpRequest request) throws IOException, HttpException {
    beginExchange(request);
    http.sendRequestHeader(request);
    if (request.getEntity() != null) {
      http.sendRequestEntity(request);
    }
    http.flush();
  }

  private void beginExchange(ClassicHttpRequest request) throws HttpException {
    Header header = request.getFirstHeader(ID_HEADER);
    pendingId = header == null || header.getValue() == null ? "" : header.getValue();
    if (sentIds.contains(pendingId)) {
      throw new ProtocolException("the connection has carried a request with this id");
    }
    firstExchange = sentIds.isEmpty();
    inSync &= !Method.HEAD.isSame(request.getMethod());
    sentIds.add(pendingId);
    skipped = 0;
    refused.clear();
    identified = false;
    receivedWithoutId = false;
  }

  /**
   * Waits for the final response head of the pending request, and skips informational responses and
   * those to other requests. After a timeout the method can be called again.
   *
   * @throws HttpException if the response is malformed or may belong to another request
   */
  public ClassicHttpResponse receiveHead() throws IOException, HttpException {
    while (true) {
      readSkippedBody();
      ClassicHttpResponse response = http.receiveResponseHeader();
      if (ResponseHead.containsStatusLine(response)) {
        refuse(response, RefusedResponse.Reason.SECOND_STATUS_LINE);
        throw new ProtocolException("the head of a response contains a second status line");
      }
      boolean informational = response.getCode() < HttpStatus.SC_OK;
      if (!informational && belongsToPendingRequest(response)) {
        return response;
      }
      if (++skipped > MAX_SKIPPED_RESPONSES) {
        throw new ProtocolException("more than 16 responses that are informational or of others");
      }
      if (!informational) {
        skipBody(response);
      }
    }
  }

  private boolean belongsToPendingRequest(ClassicHttpResponse response) throws HttpException {
    String echoed = ResponseHead.echoedId(response, pendingId);
    if (!echoed.isEmpty() && !echoed.equals(pendingId)) {
      refuse(response, RefusedResponse.Reason.OTHER_ID);
      if (!sentIds.contains(echoed)) {
        throw new ProtocolException("a response with an id that the connection has not carried");
      }
      return false;
    }
    identified = !echoed.isEmpty();
    if (!identified) {
      receivedWithoutId = true;
      if (!firstExchange || !inSync) {
        // Waiting for another response could take all the time of the request in vain: servers that
        // echo ids may reject requests without one.
        refuse(response, RefusedResponse.Reason.WITHOUT_ID);
        throw new ProtocolException("a response without the id of its request");
      }
      inSync = false;
    }
    return true;
  }

  private void refuse(ClassicHttpResponse response, RefusedResponse.Reason reason) {
    inSync = false;
    String echoed = ResponseHead.echoedId(response, pendingId);
    refused.add(new RefusedResponse(pendingId, echoed, response.getCode(), reason));
  }

  private void skipBody(ClassicHttpResponse response) throws IOException, HttpException {
    int status = response.getCode();
    if (status == HttpStatus.SC_NO_CONTENT || status == HttpStatus.SC_NOT_MODIFIED) {
      return;
    }
    http.receiveResponseEntity(response);
    HttpEntity entity = response.getEntity();
    if (entity != null) {
      if (entity.getContentLength() < 0 && !entity.isChunked()) {
        throw new ProtocolException("a response to another request has no end");
      }
      skippedBody = entity.getContent();
      skippedBytes.reset();
    }
  }

  private void readSkippedBody() throws IOException, HttpException {
    InputStream body = skippedBody;
    if (body == null) {
      return;
    }
    for (int next = body.read(); next >= 0; next = body.read()) {
      if (skippedBytes.endsWith((byte) next)) {
        // The skipped response broke off, and what continues it may answer the pending request.
        throw new ProtocolException("the body of a skipped response contains a status line");
      }
    }
    skippedBody = null;
  }

  /** Attaches the body, if any, to the response as its entity. */
  public void receiveBody(ClassicHttpResponse response) throws IOException, HttpException {
    http.receiveResponseEntity(response);
  }

  /**
   * Sets the time within which all of the following reads must end: a server that sends a byte now
   * and then must not hold an exchange for longer.
   */
  public void setReadTimeout(long nanos) {
    input.endAfter(nanos);
  }

  /**
   * Whether bytes have arrived behind the last response. They belong to no request, and would
   * become a part of the next response.
   */
  boolean hasFurtherBytes() {
    try {
      input.peek(true);
      return http.isDataAvailable(Timeout.ONE_MILLISECOND);
    } catch (IOException e) {
      return true;
    } finally {
      input.peek(false);
    }
  }

  /** Records that an exchange ended with a complete response. */
  public void recordSuccess(long nowNanos) {
    lastSuccessNanos = nowNanos;
  }

  /** When the connection was opened. */
  public long openedNanos() {
    return openedNanos;
  }

  /**
   * When the last complete response was received, or when the connection was opened if there was
   * none.
   */
  public long lastSuccessNanos() {
    return lastSuccessNanos;
  }

  /** Closes the connection immediately, so that a late response is not read. */
  public void abort() {
    http.close(CloseMode.IMMEDIATE);
  }

  /** The codec on a socket, with an input of its own. */
  private static final class HttpConnection extends DefaultBHttpClientConnection {
    HttpConnection(Socket socket, InputStream input) throws IOException {
      super(CONFIG);
      bind(
          new SocketHolder(socket) {
            @Override
            protected InputStream getInputStream(Socket unused) {
              return input;
            }
          });
    }
  }

  /** The bytes of a server, read until a time. */
  private static final class ServerBytes extends FilterInputStream {
    private static final long MAX_NANOS = TimeUnit.DAYS.toNanos(1);

    private final Socket socket;
    private final Clocks clocks;
    private volatile long endNanos;
    private boolean peeking;

    ServerBytes(Socket socket, Clocks clocks) throws IOException {
      super(socket.getInputStream());
      this.socket = socket;
      this.clocks = clocks;
      endAfter(MAX_NANOS);
    }

    void endAfter(long nanos) {
      endNanos = clocks.nanos() + Math.min(nanos, MAX_NANOS);
    }

    /** Sets whether only bytes that have arrived already are read, without waiting. */
    void peek(boolean only) {
      peeking = only;
    }

    @Override
    public int read() throws IOException {
      beforeRead();
      return super.read();
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      beforeRead();
      return super.read(buffer, offset, length);
    }

    private void beforeRead() throws IOException {
      if (peeking) {
        if (available() == 0) {
          throw new SocketTimeoutException("no byte has arrived");
        }
        return;
      }
      long leftNanos = endNanos - clocks.nanos();
      if (leftNanos <= 0) {
        throw new SocketTimeoutException("the time for the response has passed");
      }
      socket.setSoTimeout((int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(leftNanos)));
    }
  }
}
