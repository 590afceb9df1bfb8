package org.magnoliaswitch.entry;

import static org.testng.Assert.assertEquals;

import com.google.common.base.Ticker;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliaswitch.core.clock.Clocks;
import org.testng.annotations.Test;

/** Senders that give a byte now and then. */
public final class SlowSenderGuardTest {
  /**
   * A sender keeps its connection from being idle by a byte every few seconds and never ends its
   * header. The connection is closed when the header has taken too long.
   */
  @Test
  public void closesAConnectionThatDragsOutItsHeader() throws Exception {
    AtomicLong nanos = new AtomicLong();
    Ticker ticker =
        new Ticker() {
          @Override
          public long read() {
            return nanos.get();
          }
        };
    try (RunningEntry entry = new RunningEntry();
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.callerPort());
        SlowSenderGuard guard =
            new SlowSenderGuard(
                entry.callers()::endPoints, new Clocks(InstantSource.system(), ticker))) {
      int closed = 0;
      for (int second = 0; second < 14 && closed == 0; second += 2) {
        send(entry, socket, "GET / HTTP/1.1\r\nX-".charAt(second));
        closed = guard.sweep();
        nanos.addAndGet(Duration.ofSeconds(2).toNanos());
      }
      assertEquals(closed, 1);
    }
  }

  /** A large body under way is no slow header. */
  @Test
  public void leavesALongUploadAlone() throws Exception {
    AtomicLong nanos = new AtomicLong();
    Ticker ticker =
        new Ticker() {
          @Override
          public long read() {
            return nanos.get();
          }
        };
    try (RunningEntry entry = new RunningEntry();
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.callerPort());
        SlowSenderGuard guard =
            new SlowSenderGuard(
                entry.callers()::endPoints, new Clocks(InstantSource.system(), ticker))) {
      String head =
          "POST /booking/book HTTP/1.1\r\nHost: h\r\nIdempotency-Key: up\r\nContent-Length: 1000\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
      while (entry.callers().inFlight() == 0) {
        Thread.onSpinWait();
      }
      int closed = 0;
      for (int i = 0; i < 12; i++) {
        send(entry, socket, 'b');
        closed += guard.sweep();
        nanos.addAndGet(Duration.ofSeconds(2).toNanos());
      }
      assertEquals(closed, 0);
    }
  }

  private static void send(RunningEntry entry, Socket socket, char next) throws Exception {
    long before = received(entry);
    OutputStream out = socket.getOutputStream();
    out.write(next);
    out.flush();
    while (received(entry) <= before) {
      Thread.onSpinWait();
    }
  }

  private static long received(RunningEntry entry) {
    return entry.callers().endPoints().stream()
        .mapToLong(endPoint -> endPoint.getConnection().getBytesIn())
        .sum();
  }
}
