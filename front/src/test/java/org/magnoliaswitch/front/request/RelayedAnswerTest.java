package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.testing.CuttableLink.Cut;
import org.magnoliaswitch.front.testing.RunningFront;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.version.ServerEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Answers without a length, which end with their connection, on each way to the server. */
public final class RelayedAnswerTest {
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final int BODY_BYTES = 5_000;
  private static final String WHOLE = "x".repeat(BODY_BYTES);
  private static final String HALF = "x".repeat(BODY_BYTES / 2);

  private static int status(String answer) {
    return Integer.parseInt(answer.split(" ", 3)[1]);
  }

  private static String unframed(ScriptedServer.Received request, String body) {
    return unframed(request.header("Request-Id"), body);
  }

  private static String unframed(String requestId, String body) {
    return "HTTP/1.1 200 X\r\nRequest-Id: " + requestId + "\r\nConnection: close\r\n\r\n" + body;
  }

  /** Answers of servers that the instance reaches itself. */
  public static final class OnADirectConnection {
    private static final int LARGE_BODY_BYTES = 16 << 20;

    /**
     * Guards against taking a failed write for the end of the answer: the server resets the
     * connection halfway through its answer, while the instance is still sending it the request.
     */
    @Test(timeOut = 20_000)
    public void answersResetDuringTheRequestAreBroken() throws IOException {
      try (ServerSocket listener = new ServerSocket(0)) {
        int port = listener.getLocalPort();
        Thread.ofVirtual().start(() -> accept(listener));
        ServerEntry server = new ServerEntry("i-1", 0, "s", "127.0.0.1", port, "here", 6, false, 0);
        RunningFront front = RunningFront.withServers(TIMEOUT_MILLIS, List.of(server));
        try (Socket caller = front.connect()) {
          String length = "Content-Length: " + LARGE_BODY_BYTES + "\r\nConnection: close\r\n";
          RunningFront.send(caller, "POST", "/once/1", TIMEOUT_MILLIS, length);
          caller.getOutputStream().write(new byte[LARGE_BODY_BYTES]);
          byte[] answer = caller.getInputStream().readAllBytes();
          String text = new String(answer, StandardCharsets.ISO_8859_1);
          assertEquals(status(text), 502, text);
        }
        front.stop(() -> {});
      }
    }

    private static void accept(ServerSocket listener) {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          Thread.ofVirtual().start(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    /** Answers health checks, and resets the connection halfway through any other answer. */
    private static void serve(Socket socket) {
      try (socket) {
        String head = readHead(socket);
        while (head.startsWith("GET /health")) {
          write(socket, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
          head = readHead(socket);
        }
        write(socket, unframed("id-/once/1", HALF));
        // Gives the answer time to arrive, and the unread request time to block its sender.
        boolean unused = new CountDownLatch(1).await(50, TimeUnit.MILLISECONDS);
        socket.setSoLinger(true, 0);
      } catch (IOException e) {
        // The instance has closed the connection.
        return;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private static String readHead(Socket socket) throws IOException {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = socket.getInputStream().read();
        if (next < 0) {
          throw new IOException("the connection has ended");
        }
        head.append((char) next);
      }
      return head.toString();
    }

    private static void write(Socket socket, String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  /** Answers by servers that the instance reaches through another instance only. */
  public static final class ThroughAnotherInstance {
    private static String answerOf(ScriptedServer.Script script) throws IOException {
      ScriptedServer.Script unlessDiscovery =
          request ->
              request.line().contains("/once/9")
                  ? script.handle(request)
                  : request.respond(200, "");
      try (CutDeployment deployment = new CutDeployment(1, 1, unlessDiscovery)) {
        deployment.cut(Cut.RESET);
        deployment.served(deployment.last(), "GET", "safe", 10);
        return deployment.last().request("POST", "/once/9", TIMEOUT_MILLIS);
      }
    }

    /** Guards against an answer that was reset halfway and reaches the caller as a whole one. */
    @Test(timeOut = 20_000)
    public void resetAnswersAreBroken() throws IOException {
      String answer =
          answerOf(
              request -> {
                request.write(unframed(request, HALF));
                request.awaitCloseOrPause();
                return request.reset();
              });
      assertEquals(status(answer), 502, answer);
    }

    /** Guards against refusing a whole answer because it has no length. */
    @Test(timeOut = 20_000)
    public void endedAnswersAreWhole() throws IOException {
      String answer =
          answerOf(
              request -> {
                request.write(unframed(request, WHOLE));
                return false;
              });
      assertEquals(status(answer), 200, answer);
      assertTrue(answer.endsWith(WHOLE), answer);
    }
  }

  /**
   * Answers through instances that end in the middle of an answer, of this or an earlier release.
   */
  public static final class ThroughAnInstanceThatEnds {
    private static final byte[] OPENED = {1, 1, 0, (byte) 0xc3};
    private static final byte[] OPENED_BY_EARLIER_RELEASE = {1, 1, 0};
    private static final byte[] SIGNAL_FOLLOWS = {};
    private static final byte[] END_OF_OUTPUT = {1};

    /** Each row: what the relay answers to the question for a connection; expected status. */
    @DataProvider
    public Object[][] relays() {
      return new Object[][] {
        {"ends with its process", OPENED, new byte[][] {}, 502},
        {"announces a signal, and ends", OPENED, new byte[][] {SIGNAL_FOLLOWS}, 502},
        {"tells the end", OPENED, new byte[][] {SIGNAL_FOLLOWS, END_OF_OUTPUT}, 200},
        {"tells no ends", OPENED_BY_EARLIER_RELEASE, new byte[][] {}, 502},
        {"announces the close", OPENED_BY_EARLIER_RELEASE, new byte[][] {{}}, 502},
      };
    }

    /** Guards against taking the end of a relay for the end of the answer. */
    @Test(dataProvider = "relays", timeOut = 20_000)
    public void answersAreWholeOnlyIfTheirEndIsTold(
        String name, byte[] opened, byte[][] lastFrames, int expected) throws IOException {
      // A bound socket that does not listen refuses connections and keeps its port from reuse.
      try (Socket refusing = new Socket();
          ServerSocket relay = new ServerSocket(0)) {
        refusing.bind(new InetSocketAddress("127.0.0.1", 0));
        int port = refusing.getLocalPort();
        ServerEntry server = new ServerEntry("i-1", 0, "s", "127.0.0.1", port, "here", 6, false, 0);
        Thread.ofVirtual().start(() -> serve(relay, opened, lastFrames));
        RunningFront front =
            RunningFront.withRelay(
                TIMEOUT_MILLIS,
                new InetSocketAddress("127.0.0.1", relay.getLocalPort()),
                List.of(server));
        String answer = front.request("POST", "/once/1", TIMEOUT_MILLIS);
        assertEquals(status(answer), expected, name + ": " + answer);
        front.stop(() -> {});
      }
    }

    private static void serve(ServerSocket relay, byte[] opened, byte[][] lastFrames) {
      while (!relay.isClosed()) {
        try {
          Socket socket = relay.accept();
          Thread.ofVirtual().start(() -> serveOne(socket, opened, lastFrames));
        } catch (IOException e) {
          return;
        }
      }
    }

    private static void serveOne(Socket socket, byte[] opened, byte[][] lastFrames) {
      try (socket) {
        relay(socket, opened, lastFrames);
      } catch (IOException e) {
        // The instance has closed the connection.
        return;
      }
    }

    private static void relay(Socket socket, byte[] opened, byte[][] lastFrames)
        throws IOException {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      byte[] unused = readFrame(in);
      writeFrame(out, opened);
      String request = new String(readFrame(in), StandardCharsets.ISO_8859_1);
      while (request.startsWith("GET /health")) {
        writeFrame(out, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
        request = new String(readFrame(in), StandardCharsets.ISO_8859_1);
      }
      writeFrame(out, unframed("id-/once/1", HALF));
      for (byte[] frame : lastFrames) {
        writeFrame(out, frame);
      }
      socket.shutdownOutput();
      int unusedByte = in.read();
    }
  }

  /** Answers passed on to an instance of an earlier release, which is told no ends. */
  public static final class ToAnEarlierRelease {
    private static final byte[] OPEN_BY_EARLIER_RELEASE = {1, 0, (byte) 0xa3, 'i', '-', '0'};

    /** Guards against an answer that was reset and that the other instance takes for whole. */
    @Test(timeOut = 20_000)
    public void resetsArePassedOn() throws IOException, InterruptedException {
      CountDownLatch received = new CountDownLatch(1);
      ScriptedServer.Script script =
          request -> {
            request.write(unframed(request, HALF));
            received.await();
            return request.reset();
          };
      try (ScriptedServer server = new ScriptedServer("i-0", script);
          Socket socket = open(server)) {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] unused = readFrame(in);
        received.countDown();
        expectThrows(SocketException.class, in::readAllBytes);
      }
    }

    /** Guards against breaking whole answers while instances of two releases are in service. */
    @Test(timeOut = 20_000)
    public void ordinaryEndsArePassedOn() throws IOException {
      ScriptedServer.Script script =
          request -> {
            request.write(unframed(request, WHOLE));
            return false;
          };
      try (ScriptedServer server = new ScriptedServer("i-0", script);
          Socket socket = open(server)) {
        byte[] unused = socket.getInputStream().readAllBytes();
      }
    }

    /** Opens a connection to a server through an instance and sends a request. */
    private static Socket open(ScriptedServer server) throws IOException {
      RunningFront front = RunningFront.withRelay(TIMEOUT_MILLIS, server);
      Socket socket = new Socket("127.0.0.1", front.relayPort());
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      writeFrame(out, OPEN_BY_EARLIER_RELEASE);
      byte[] opened = readFrame(new DataInputStream(socket.getInputStream()));
      assertEquals(opened[2], 0);
      writeFrame(out, "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n");
      return socket;
    }
  }

  private static byte[] readFrame(DataInputStream in) throws IOException {
    byte[] frame = new byte[in.readInt()];
    in.readFully(frame);
    return frame;
  }

  private static void writeFrame(DataOutputStream out, String text) throws IOException {
    writeFrame(out, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void writeFrame(DataOutputStream out, byte[] frame) throws IOException {
    out.writeInt(frame.length);
    out.write(frame);
    out.flush();
  }
}
