package org.magnoliaswitch.core.connection;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.magnoliaswitch.core.clock.Clocks;

/** One HTTP/1.1 connection to a backend server, used by one exchange at a time. */
public final class BackendConnection {
  /** Limit of informational responses before a final one. */
  private static final int MAX_INFORMATIONAL_RESPONSES = 16;

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
  private volatile long lastSuccessNanos;

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

  /** Whether further exchanges may follow the first one. */
  public boolean reusable() {
    return reusable;
  }

  /**
   * Sends a complete request; parts of it may have reached the server as soon as this method is
   * called.
   */
  public void send(ClassicHttpRequest request) throws IOException, HttpException {
    http.sendRequestHeader(request);
    if (request.getEntity() != null) {
      http.sendRequestEntity(request);
    }
    http.flush();
  }

  /** Waits for the final response head and skips informational responses. */
  public ClassicHttpResponse receiveHead() throws IOException, HttpException {
    for (int skipped = 0; skipped <= MAX_INFORMATIONAL_RESPONSES; skipped++) {
      ClassicHttpResponse response = http.receiveResponseHeader();
      if (response.getCode() >= HttpStatus.SC_OK) {
        return response;
      }
    }
    throw new ProtocolException("more than 16 informational responses");
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
