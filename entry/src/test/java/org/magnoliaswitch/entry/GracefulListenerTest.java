package org.magnoliaswitch.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Checks that a graceful stop of the listener aborts no request. */
public final class GracefulListenerTest {
  /**
   * A request is in flight when the entry stops. The listener must not close before the response is
   * complete, since the caller would receive a truncated response.
   */
  @Test
  public void finishesRequestsInFlight() throws Exception {
    try (RunningEntry entry = new RunningEntry()) {
      entry.faults("{\"slowdown\": 400}");
      CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> send(entry, "GET"));
      while (entry.callers().inFlight() == 0) {
        Thread.onSpinWait();
      }
      entry.callers().markNotReady();
      assertTrue(entry.callers().stop(10_000));
      assertTrue(response.join().startsWith("HTTP/1.1 200"), response.join());
    }
  }

  /** Guards against a close that cuts off a response which its caller has not read yet. */
  @Test
  public void responsesReadAfterTheStopAreWhole() throws Exception {
    assertWholeAfterTheStop(0, 0);
  }

  /** Guards against a reset by a further request, which destroys what the kernel still holds. */
  @Test
  public void aFurtherRequestDoesNotDestroyTheResponse() throws Exception {
    assertWholeAfterTheStop(1, 0);
  }

  /** The same with a request that arrives when the listener has closed the connection. */
  @Test
  public void furtherRequestsDoNotDestroyTheResponse() throws Exception {
    assertWholeAfterTheStop(1, 1);
  }

  /** Reads a response after the stop; further requests are sent before and after it. */
  private static void assertWholeAfterTheStop(int before, int after) throws Exception {
    int size = 1_000_000;
    String request = "GET /booking/a?size=" + size + " HTTP/1.1\r\nHost: h\r\n\r\n";
    try (RunningEntry entry = new RunningEntry();
        Socket socket = new Socket()) {
      socket.setReceiveBufferSize(16 << 10);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), entry.callerPort()));
      socket.setSoTimeout(5_000);
      entry.callers().markNotReady();
      OutputStream out = socket.getOutputStream();
      out.write(request.getBytes(StandardCharsets.US_ASCII));
      int first = socket.getInputStream().read();
      assertEquals(first, 'H');
      out.write(request.repeat(before).getBytes(StandardCharsets.US_ASCII));
      assertTrue(entry.callers().stop(10_000));
      out.write(request.repeat(after).getBytes(StandardCharsets.US_ASCII));
      int received = socket.getInputStream().readAllBytes().length;
      assertTrue(received >= size, received + " bytes");
    }
  }

  @Test
  public void asksCallersToCloseTheirConnectionsWhileItStops() throws Exception {
    try (RunningEntry entry = new RunningEntry();
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.callerPort())) {
      socket.setSoTimeout(5_000);
      entry.callers().markNotReady();
      socket
          .getOutputStream()
          .write("GET /booking/a HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertEquals(response.contains("Connection: close"), true, response);
    }
  }

  private static String send(RunningEntry entry, String method) {
    try {
      return entry.send(method, "/booking/a", "", "");
    } catch (java.io.IOException e) {
      return e.toString();
    }
  }
}
