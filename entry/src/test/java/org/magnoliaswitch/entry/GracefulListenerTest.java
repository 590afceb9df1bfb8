package org.magnoliaswitch.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

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

  @Test
  public void asksCallersToCloseTheirConnectionsWhileItStops() throws Exception {
    try (RunningEntry entry = new RunningEntry();
        Socket socket = new Socket(java.net.InetAddress.getLoopbackAddress(), entry.callerPort())) {
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
