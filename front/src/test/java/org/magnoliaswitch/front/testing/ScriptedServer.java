package org.magnoliaswitch.front.testing;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.magnoliaswitch.front.version.ServerEntry;

/** A backend server that handles each request with a script, down to the bytes on the wire. */
public final class ScriptedServer implements AutoCloseable {
  /** Handles the requests of a test. */
  @FunctionalInterface
  public interface Script {
    /** Handles a request; returns whether the connection is kept. */
    boolean handle(Received request) throws IOException, InterruptedException;
  }

  /** A received request. */
  public static final class Received {
    private final String head;
    private final Socket socket;

    Received(String head, Socket socket) {
      this.head = head;
      this.socket = socket;
    }

    /** Value of a header, or an empty string if it is missing. */
    public String header(String name) {
      int at = head.toLowerCase(Locale.ROOT).indexOf("\r\n" + name.toLowerCase(Locale.ROOT) + ":");
      if (at < 0) {
        return "";
      }
      int start = at + name.length() + 3;
      return head.substring(start, head.indexOf("\r\n", start)).strip();
    }

    /** Request line and headers as received. */
    public String head() {
      return head;
    }

    /** Whether it is a health check, which the list of received requests leaves out. */
    public boolean healthCheck() {
      return line().startsWith(HEALTH_CHECK);
    }

    /** Request line. */
    public String line() {
      return head.substring(0, head.indexOf("\r\n"));
    }

    /** Whether the request came on the same connection as another one. */
    public boolean sharesConnectionWith(Received other) {
      return socket == other.socket;
    }

    /** Writes raw bytes. */
    public void write(String bytes) throws IOException {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Writes a complete response that echoes the request's id. */
    public boolean respond(int status, String body) throws IOException {
      write(
          "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
              .formatted(status, header("Request-Id"), body.length(), body));
      return true;
    }

    /** Writes a response without a body that echoes the request's id and has further headers. */
    public boolean respondWith(int status, String... headers) throws IOException {
      String lines = Stream.of(headers).map(line -> line + "\r\n").collect(Collectors.joining());
      write(
          "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
              .formatted(status, header("Request-Id"), lines));
      return true;
    }

    /** Makes the connection close with a reset. */
    public boolean reset() throws IOException {
      socket.setSoLinger(true, 0);
      return false;
    }

    /** Gives written bytes time to arrive before the connection is reset or closed. */
    public void awaitCloseOrPause() throws IOException {
      socket.setSoTimeout(50);
      try {
        awaitClose();
      } catch (java.net.SocketTimeoutException e) {
        socket.setSoTimeout(0);
      }
    }

    /** Waits until the other side closes the connection. */
    public void awaitClose() throws IOException {
      int unused = socket.getInputStream().read();
    }
  }

  private static final String HEALTH_CHECK = "GET /health ";

  private final String id;
  private final ServerSocket listener;
  private final Script script;
  private final List<Received> received = new CopyOnWriteArrayList<>();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final CountDownLatch first = new CountDownLatch(1);
  private final Thread acceptor;

  public ScriptedServer(String id, Script script) throws IOException {
    this.id = id;
    this.script = script;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.acceptor = Thread.ofVirtual().start(this::accept);
  }

  /** The discovery entry of the server. */
  public ServerEntry entry() {
    return new ServerEntry(
        id, 0, "s", "127.0.0.1", listener.getLocalPort(), "here", Servers.SLOTS, false, 0);
  }

  /** The received requests without health checks. */
  public List<Received> received() {
    return received;
  }

  /** Waits until the first request other than a health check has been received. */
  public void awaitFirst() throws InterruptedException {
    first.await();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  /** Closes the server and waits until its port refuses connections. */
  public void closeAndAwait() throws IOException, InterruptedException {
    close();
    acceptor.join();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        open.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      boolean keep = true;
      while (keep) {
        String head = readRequest(socket.getInputStream());
        if (head.isEmpty()) {
          return;
        }
        Received request = new Received(head, socket);
        if (!request.healthCheck()) {
          received.add(request);
          first.countDown();
        }
        keep = script.handle(request);
      }
    } catch (IOException e) {
      // Some tests close the connection on purpose.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readRequest(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    int at = head.toString().toLowerCase(Locale.ROOT).indexOf("content-length:");
    if (at >= 0) {
      String value = head.substring(at + 15, head.indexOf("\r\n", at)).strip();
      byte[] unused = in.readNBytes(Integer.parseInt(value));
    }
    return head.toString();
  }
}
