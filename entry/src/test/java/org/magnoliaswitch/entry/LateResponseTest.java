package org.magnoliaswitch.entry;

import static org.testng.Assert.assertEquals;
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
import org.magnoliaswitch.core.connection.SocketConnector;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests callers of an entry whose backend servers answer twice, the second time late. */
public final class LateResponseTest {
  private static final int REQUESTS = 40;
  private static final int SERVERS = 3;

  @DataProvider
  public static Object[][] servers() {
    return new Object[][] {{true, "GET"}, {true, "POST"}, {false, "GET"}, {false, "POST"}};
  }

  /** Guards against the answer to another caller's request. */
  @Test(dataProvider = "servers", timeOut = 120_000)
  public void eachCallerGetsTheAnswerToItsOwnRequest(boolean echoes, String method)
      throws Exception {
    List<String> wrong = new ArrayList<>();
    try (TwiceAnsweringServer server = new TwiceAnsweringServer(echoes);
        RunningEntry entry = new RunningEntry(server.connector())) {
      for (int i = 0; i < REQUESTS; i++) {
        boolean get = method.equals("GET");
        String key = get ? "" : "Idempotency-Key: " + method + echoes + i + "\r\n";
        String id = "X-Request-Id: caller-" + i + "\r\nOperation-Id: " + i + "\r\n";
        String path = get ? "/booking/slots" : "/booking/book";
        String response = entry.send(method, path, key + id, get ? "" : "b");
        // The server answers requests with an odd number with 500.
        String status = "HTTP/1.1 " + (i % 2 == 0 ? 200 : 500);
        if (!response.startsWith(status) || !response.endsWith("operation " + i)) {
          wrong.add(i + ": " + response.lines().findFirst().orElse("none"));
        }
      }
      long refused = entry.control().state().refusedResponses().count();
      assertEquals(refused > 0, echoes, refused + " responses were skipped");
    }
    assertEquals(wrong, List.of(), wrong.size() + " of " + REQUESTS + " requests");
  }

  /** Guards against a new connection for each request to servers that echo its id. */
  @Test(timeOut = 120_000)
  public void connectionsOfServersThatEchoIdsAreReused() throws Exception {
    CuttableLinks links = new CuttableLinks();
    try (RunningEntry entry = new RunningEntry(links)) {
      for (int i = 0; i < REQUESTS; i++) {
        String response = entry.send("GET", "/booking/slots", "", "");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
      }
      // One for the requests and one for the first probe to each server.
      assertTrue(links.opened() <= 2 * SERVERS, links.opened() + " connections");
    }
  }

  /** Sends each response again in front of the next one on the connection. */
  private static final class TwiceAnsweringServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final boolean echoes;

    TwiceAnsweringServer(boolean echoes) throws IOException {
      this.echoes = echoes;
      Thread.ofVirtual().start(this::accept);
    }

    /** Leads the connections to all servers to this one. */
    SocketConnector connector() {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
      return (unused, timeoutMillis) -> SocketConnector.NETWORK.connect(address, timeoutMillis);
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          Thread.ofVirtual().start(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        String late = "";
        for (String head = read(socket.getInputStream());
            !head.isEmpty();
            head = read(socket.getInputStream())) {
          String answer = answer(head);
          socket.getOutputStream().write((late + answer).getBytes(StandardCharsets.ISO_8859_1));
          late = answer;
        }
      } catch (IOException e) {
        // The entry has closed the connection.
        return;
      }
    }

    private String answer(String head) {
      String id = field(head, "X-Request-Id");
      String operation = field(head, "Operation-Id");
      boolean odd = !operation.isEmpty() && Integer.parseInt(operation) % 2 == 1;
      String body = "operation " + operation;
      return (odd ? "HTTP/1.1 500 Error\r\n" : "HTTP/1.1 200 OK\r\n")
          + (echoes && !id.isEmpty() ? "X-Request-Id: " + id + "\r\n" : "")
          + "endpoint-load-metrics: TEXT named_metrics.requests=0,named_metrics.slots=6\r\n"
          + "Content-Length: "
          + body.length()
          + "\r\n\r\n"
          + body;
    }

    private static String field(String head, String name) {
      return head.lines()
          .filter(line -> line.regionMatches(true, 0, name + ':', 0, name.length() + 1))
          .map(line -> line.substring(name.length() + 1).strip())
          .findFirst()
          .orElse("");
    }

    /** Reads a request with a body of one byte, or without content in chunks; returns its head. */
    private static String read(InputStream in) throws IOException {
      String head = readTo(in, "\r\n\r\n");
      if (field(head, "Transfer-Encoding").equals("chunked")) {
        String unused = readTo(in, "0\r\n\r\n");
      } else if (field(head, "Content-Length").equals("1")) {
        int unused = in.read();
      }
      return head;
    }

    private static String readTo(InputStream in, String end) throws IOException {
      StringBuilder text = new StringBuilder();
      while (text.indexOf(end) < 0) {
        int next = in.read();
        if (next < 0) {
          return "";
        }
        text.append((char) next);
      }
      return text.toString();
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }
}
