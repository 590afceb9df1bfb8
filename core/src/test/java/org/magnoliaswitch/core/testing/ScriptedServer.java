package org.magnoliaswitch.core.testing;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.IntFunction;

/** A server that responds to each request as a test prescribes, including malformed responses. */
public final class ScriptedServer implements AutoCloseable {
  /** The response to a request. */
  public sealed interface Action {
    /** Sends bytes and keeps the connection open. */
    record Send(String bytes) implements Action {}

    /** Sends bytes, and further ones once a test lets it. */
    record SendInTwoParts(String first, CountDownLatch second, String bytes) implements Action {}

    /** Sends bytes and closes the connection. */
    record SendAndClose(String bytes) implements Action {}

    /** Crashes the server: closes all its connections and the listening socket. */
    record Crash() implements Action {}

    /** Never responds. */
    record Hang() implements Action {}
  }

  /**
   * A request as the server received it.
   *
   * @param index number of the request at this server, from 0
   * @param onConnection number of the request on its connection, from 0
   * @param head request line and header
   */
  public record Received(int index, int onConnection, String head) {
    private static final String ID = "x-request-id:";

    /** The id of the request, empty if it has none. */
    public String id() {
      return head.lines()
          .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(ID))
          .map(line -> line.substring(ID.length()).strip())
          .findFirst()
          .orElse("");
    }

    /** Whether this is a request for the load of the server. */
    public boolean probe() {
      return head.startsWith("GET /load ");
    }
  }

  private final ServerSocket listener;
  private final Function<Received, Action> actions;
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger connections = new AtomicInteger();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  /**
   * Starts the server on a free port; the function maps the index of a request, from 0, to its
   * action.
   */
  public ScriptedServer(IntFunction<Action> actions) throws IOException {
    this((Received received) -> actions.apply(received.index()));
  }

  private ScriptedServer(Function<Received, Action> actions) throws IOException {
    this.actions = actions;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Starts a server on a free port whose actions depend on the requests. */
  public static ScriptedServer answering(Function<Received, Action> actions) throws IOException {
    return new ScriptedServer(actions);
  }

  /** Returns the port of the listening socket. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Returns the number of requests received completely. */
  public int requests() {
    return requests.get();
  }

  /** Returns the number of accepted connections. */
  public int connections() {
    return connections.get();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        connections.incrementAndGet();
        open.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      int onConnection = 0;
      for (String head = readRequest(in); !head.isEmpty(); head = readRequest(in)) {
        Action action =
            actions.apply(new Received(requests.getAndIncrement(), onConnection++, head));
        switch (action) {
          case Action.Send send -> write(socket, send.bytes());
          case Action.SendInTwoParts send -> {
            write(socket, send.first());
            send.second().await();
            write(socket, send.bytes());
          }
          case Action.SendAndClose send -> {
            write(socket, send.bytes());
            return;
          }
          case Action.Crash crash -> {
            close();
            return;
          }
          case Action.Hang hang -> {
            int unused = in.read();
            return;
          }
        }
      }
    } catch (IOException e) {
      // Some tests close the client's end on purpose.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /**
   * Reads a request head and a body of the length that Content-Length announces; returns the head,
   * or nothing at the end of the connection.
   */
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
