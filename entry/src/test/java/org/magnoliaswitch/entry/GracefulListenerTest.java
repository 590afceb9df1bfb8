package org.magnoliaswitch.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** An entry that stops cuts nothing. */
public final class GracefulListenerTest {
  /**
   * A caller's request is in flight when the entry stops. The listener closes only after the answer
   * is whole; a listener that closed at once would cut it.
   */
  @Test
  public void finishesWhatIsInFlight() throws Exception {
    try (RunningEntry entry = new RunningEntry()) {
      entry.faults("{\"slowdown\": 400}");
      CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> read(entry, "GET"));
      while (entry.callers().inFlight() == 0) {
        Thread.onSpinWait();
      }
      entry.callers().unready();
      assertTrue(entry.callers().stop(10_000));
      assertTrue(answer.join().startsWith("HTTP/1.1 200"), answer.join());
    }
  }

  @Test
  public void asksCallersToCloseTheirConnectionsWhileItStops() throws Exception {
    try (RunningEntry entry = new RunningEntry();
        Socket socket = new Socket(java.net.InetAddress.getLoopbackAddress(), entry.callerPort())) {
      socket.setSoTimeout(5_000);
      entry.callers().unready();
      socket
          .getOutputStream()
          .write("GET /booking/a HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      String answer =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertEquals(answer.contains("Connection: close"), true, answer);
    }
  }

  private static String read(RunningEntry entry, String method) {
    try {
      return entry.send(method, "/booking/a", "", "");
    } catch (java.io.IOException e) {
      return e.toString();
    }
  }
}
