package org.magnoliaswitch.core.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.testing.LateAnswers;
import org.magnoliaswitch.core.testing.LateAnswers.Shape;
import org.magnoliaswitch.core.testing.ScriptedServer;
import org.magnoliaswitch.core.testing.ScriptedServer.Action;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests servers that send more than the response to a request. */
public final class BackendConnectionTest {
  private static final Clocks CLOCKS = Clocks.system();
  private static final long READ_MILLIS = 300;

  /** Time within which an exchange must end whose reads may take {@link #READ_MILLIS}. */
  private static final long LIMIT_MILLIS = 3_000;

  private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";

  private ServerSocket listener = listen();

  private static ServerSocket listen() {
    try {
      return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new IllegalStateException("cannot listen on the loopback address", e);
    }
  }

  @BeforeMethod
  public void setUp() throws IOException {
    listener.close();
    listener = listen();
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() throws IOException {
    listener.close();
  }

  /** Sends the bytes of a server. */
  @FunctionalInterface
  private interface Server {
    void serve(Socket socket) throws IOException, InterruptedException;
  }

  private ConnectionPool poolFor(Server server) {
    ServerSocket accepting = listener;
    Thread.ofVirtual().start(() -> accept(accepting, server));
    return new ConnectionPool(
        new InetSocketAddress("127.0.0.1", accepting.getLocalPort()), 10, CLOCKS);
  }

  private static void accept(ServerSocket accepting, Server server) {
    while (!accepting.isClosed()) {
      try {
        Socket socket = accepting.accept();
        Thread.ofVirtual().start(() -> serve(socket, server));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void serve(Socket socket, Server server) {
    try (socket) {
      server.serve(socket);
    } catch (IOException e) {
      // The connection was closed, which ends the bytes.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void readRequest(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) in.read());
    }
  }

  private static int exchange(BackendConnection connection) throws IOException, HttpException {
    connection.setReadTimeout(TimeUnit.MILLISECONDS.toNanos(READ_MILLIS));
    connection.send(new BasicClassicHttpRequest("GET", "/"));
    ClassicHttpResponse response = connection.receiveHead();
    connection.receiveBody(response);
    InputStream content = response.getEntity().getContent();
    byte[] buffer = new byte[8 << 10];
    int total = 0;
    for (int count = content.read(buffer); count >= 0; count = content.read(buffer)) {
      total += count;
    }
    return total;
  }

  /** Each row: a name; what comes once; what is repeated without end. */
  @DataProvider
  public static Object[][] endless() {
    String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return new Object[][] {
      {"status line", "HTTP/1.1 200 ", "x"},
      {"header", "HTTP/1.1 200 OK\r\nA: ", "x"},
      {"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"body", "HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n", "x"},
      {"body in chunks", chunked, "1\r\nx\r\n"},
      {"chunk extension", chunked + "1;", "x"},
      {"trailers", chunked + "0\r\n", "A: b\r\n"},
      {"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"line breaks", "", "\r\n"},
      {"garbage", "", "\1\2"},
    };
  }

  /** Guards against exchanges that last as long as the server sends. */
  @Test(dataProvider = "endless", timeOut = 20_000)
  public void exchangeEndsThoughBytesDoNot(String name, String once, String repeated)
      throws IOException {
    ConnectionPool pool =
        poolFor(
            socket -> {
              write(socket, once);
              while (true) {
                write(socket, repeated.repeat(1_000));
              }
            });
    BackendConnection connection = pool.acquire(Long.MAX_VALUE, 1_000);
    long begun = CLOCKS.nanos();
    assertThrows(Exception.class, () -> exchange(connection));
    pool.discard(connection);
    assertTrue(CLOCKS.nanos() - begun < TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS), name);
  }

  /** Guards against a server that prolongs an exchange by a byte now and then. */
  @Test(dataProvider = "endless", timeOut = 20_000)
  public void exchangeEndsThoughBytesTrickle(String name, String once, String repeated)
      throws IOException {
    ConnectionPool pool =
        poolFor(
            socket -> {
              write(socket, once);
              while (true) {
                write(socket, repeated);
                TimeUnit.MILLISECONDS.sleep(READ_MILLIS / 3);
              }
            });
    BackendConnection connection = pool.acquire(Long.MAX_VALUE, 1_000);
    long begun = CLOCKS.nanos();
    assertThrows(Exception.class, () -> exchange(connection));
    pool.discard(connection);
    assertTrue(CLOCKS.nanos() - begun < TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS), name);
  }

  /** Guards against bytes behind a response that become a part of the next one. */
  @Test(timeOut = 20_000)
  public void connectionWithBytesBehindTheResponseIsNotReused() throws Exception {
    ConnectionPool pool =
        poolFor(
            socket -> {
              while (true) {
                readRequest(socket);
                write(socket, RESPONSE + "HTTP/1.1 503 Busy\r\nA: 1");
              }
            });
    BackendConnection first = pool.acquire(Long.MAX_VALUE, 1_000);
    assertEquals(exchange(first), 2);
    pool.release(first);
    assertEquals(pool.openConnections(), 0);
    BackendConnection second = pool.acquire(Long.MAX_VALUE, 1_000);
    assertNotSame(second, first);
    assertEquals(exchange(second), 2);
  }

  /** Guards against the same when the bytes arrive while the connection is idle. */
  @Test(timeOut = 20_000)
  public void idleConnectionThatReceivedBytesIsNotReused() throws Exception {
    ConnectionPool pool =
        poolFor(
            socket -> {
              readRequest(socket);
              write(socket, RESPONSE);
              TimeUnit.MILLISECONDS.sleep(50);
              write(socket, "HTTP/1.1 503 Busy\r\nA: 1");
              TimeUnit.SECONDS.sleep(5);
            });
    BackendConnection first = pool.acquire(Long.MAX_VALUE, 1_000);
    assertEquals(exchange(first), 2);
    pool.release(first);
    assertEquals(pool.openConnections(), 1);
    TimeUnit.MILLISECONDS.sleep(150);
    assertNotSame(pool.acquire(Long.MAX_VALUE, 1_000), first);
    assertEquals(pool.openConnections(), 1);
  }

  /** Guards against closing sound connections. */
  @Test(timeOut = 20_000)
  public void connectionWithNothingBehindTheResponseIsReused() throws Exception {
    ConnectionPool pool =
        poolFor(
            socket -> {
              while (true) {
                readRequest(socket);
                write(socket, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + RESPONSE);
              }
            });
    BackendConnection first = pool.acquire(Long.MAX_VALUE, 1_000);
    for (int i = 0; i < 3; i++) {
      assertEquals(exchange(first), 2);
      pool.release(first);
      assertEquals(pool.acquire(Long.MAX_VALUE, 1_000), first);
    }
  }

  /** Servers that answer a request twice, the second time after the next one was written. */
  public static final class LateResponses {
    @DataProvider
    public static Object[][] copies() {
      List<Object[]> rows = new ArrayList<>();
      for (Shape shape : Shape.values()) {
        rows.add(new Object[] {shape, 200, 500});
        rows.add(new Object[] {shape, 500, 200});
      }
      return rows.toArray(Object[][]::new);
    }

    /**
     * Guards against a response that consists of parts of two. The copy breaks off after each
     * number of its bytes in turn.
     */
    @Test(dataProvider = "copies")
    public void responseOfTwoPartsIsNotPassedOn(Shape shape, int first, int second)
        throws Exception {
      List<String> wrong = new ArrayList<>();
      int length = new LateAnswers(first, second, shape, 0).lateLength();
      for (int cut = 0; cut <= length; cut++) {
        String received = secondResponse(new LateAnswers(first, second, shape, cut));
        if (!received.equals(second + " answer-1") && !received.equals("none")) {
          wrong.add(cut + ": " + received);
        }
      }
      assertEquals(wrong, List.of(), wrong.size() + " of " + (length + 1) + " cuts");
    }

    /** Returns the response to the second request that the pool carries. */
    private static String secondResponse(LateAnswers answers) throws Exception {
      try (ScriptedServer server = ScriptedServer.answering(answers)) {
        ConnectionPool pool =
            new ConnectionPool(new InetSocketAddress("127.0.0.1", server.port()), 10, CLOCKS);
        BackendConnection connection = pool.acquire(Long.MAX_VALUE, 1_000);
        String unused = exchange(connection, "r-0");
        pool.release(connection);
        BackendConnection next = pool.acquire(Long.MAX_VALUE, 1_000);
        try {
          return exchange(next, "r-1");
        } catch (IOException | HttpException e) {
          return "none";
        } finally {
          pool.discard(next);
        }
      }
    }

    private static String exchange(BackendConnection connection, String id)
        throws IOException, HttpException {
      connection.setReadTimeout(TimeUnit.MILLISECONDS.toNanos(READ_MILLIS));
      BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", "/");
      request.setHeader("X-Request-Id", id);
      connection.send(request);
      ClassicHttpResponse response = connection.receiveHead();
      connection.receiveBody(response);
      byte[] body = response.getEntity().getContent().readAllBytes();
      return response.getCode() + " " + new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Each row: a response to the first request on a connection that quotes a status line. */
    @DataProvider
    public static Object[][] quoting() {
      String rest = "Content-Length: 2\r\nX-Request-Id: r-0\r\n\r\nab";
      return new Object[][] {
        {"HTTP/1.1 200 HTTP/1.1 500 Error\r\n" + rest},
        {"HTTP/1.1 200 OKHTTP/1.0 500 Error\r\n" + rest},
        {"HTTP/1.1 200 OK\r\nA: bHTTP/1.1  500\r\n" + rest},
        {"HTTP/1.1 200 OK\r\nA: b\r\n HTTP/1.1 500 Error\r\n" + rest},
        {"HTTP/1.1 200 OK\r\nAHTTP/1.1 500 Error: x\r\n" + rest},
        {"HTTP/1.1 200 OK\r\nHTTP/1.1 500 Error: x\r\n" + rest},
        {"HTTP/1.1 103 Early HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + rest},
      };
    }

    /** Guards against a head that ends within another one. */
    @Test(dataProvider = "quoting")
    public void headWithSecondStatusLineIsMalformed(String response) throws Exception {
      try (ScriptedServer server = ScriptedServer.answering(r -> new Action.Send(response))) {
        ConnectionPool pool =
            new ConnectionPool(new InetSocketAddress("127.0.0.1", server.port()), 10, CLOCKS);
        BackendConnection connection = pool.acquire(Long.MAX_VALUE, 1_000);
        assertThrows(HttpException.class, () -> exchange(connection, "r-0"));
        pool.discard(connection);
      }
    }

    /** Guards against a connection through a peer that carries a second exchange. */
    @Test
    public void connectionThroughPeerIsNotReused() throws Exception {
      LateAnswers answers = new LateAnswers(200, 500, Shape.ID_FIRST, 0);
      try (ScriptedServer server = ScriptedServer.answering(answers)) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.port());
        ConnectionPool pool =
            new ConnectionPool(
                new ServerDialer() {
                  @Override
                  public BackendConnection open(int timeoutMillis) throws IOException {
                    return BackendConnection.throughPeer(
                        SocketConnector.NETWORK.connect(address, timeoutMillis), CLOCKS);
                  }

                  @Override
                  public boolean refusesConnections(int timeoutMillis) {
                    return false;
                  }
                },
                10,
                CLOCKS);
        BackendConnection first = pool.acquire(Long.MAX_VALUE, 1_000);
        assertEquals(exchange(first, "r-0"), "200 answer-0");
        pool.release(first);
        assertEquals(pool.openConnections(), 0);
      }
    }
  }
}
