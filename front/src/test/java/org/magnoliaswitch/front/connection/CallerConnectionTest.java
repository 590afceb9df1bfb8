package org.magnoliaswitch.front.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests caller connections over time, with a clock that the test advances. */
public final class CallerConnectionTest {
  private static final String REQUEST = "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n";

  @Test
  public void idleConnectionIsClosed() {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.send(REQUEST.formatted("a"));
    caller.respond(0);
    caller.advance(14);
    assertTrue(caller.channel.isOpen());
    caller.advance(2);
    assertFalse(caller.channel.isOpen());
  }

  /**
   * A response takes ten seconds, and the caller reuses its connection twelve seconds later, well
   * within the idle timeout. Counting idle time from the request would close the connection while
   * the caller sends the next request.
   */
  @Test
  public void idleTimeCountsFromTheResponse() {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.send(REQUEST.formatted("a"));
    caller.advance(10);
    caller.respond(0);
    caller.advance(12);
    assertTrue(caller.channel.isOpen());
  }

  @Test
  public void incompleteHeadersAreRejectedAfterTheTimeout() {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.send("GET /a HTTP/1.1\r\nHo");
    caller.advance(2);
    assertTrue(caller.channel.isOpen());
    caller.advance(2);
    assertTrue(caller.received().startsWith("HTTP/1.1 408 "));
    assertFalse(caller.channel.isOpen());
  }

  /**
   * A request that must not run twice is pipelined after a read. The response to the read could
   * close the connection, and the caller would then repeat everything after it, so the request must
   * not start before that response.
   */
  @Test
  public void nonIdempotentRequestWaitsUntilItIsTheOldest() {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.send(REQUEST.formatted("a") + REQUEST.formatted("once") + REQUEST.formatted("b"));
    assertEquals(caller.responseConsumers.size(), 1);
    caller.respond(0);
    assertEquals(caller.responseConsumers.size(), 2);
    caller.respond(1);
    assertEquals(caller.responseConsumers.size(), 3);
  }

  /**
   * Guards against a full stack, which ends the event loop: requests behind one that is answered
   * late are all answered while they are started.
   */
  @Test
  public void requestsAnsweredAtOnceAreNotStartedWithinEachOther() {
    EmbeddedCaller caller = new EmbeddedCaller();
    int behind = 50;
    caller.send(REQUEST.formatted("once").repeat(1 + behind));
    assertEquals(caller.responseConsumers.size(), 1);
    caller.answersAtOnce = true;
    caller.respond(0);
    assertEquals(caller.responseConsumers.size(), 1 + behind);
    assertEquals(caller.received().split("HTTP/1.1 200", -1).length - 1, 1 + behind);
    assertEquals(caller.deepestStart, 1);
  }

  @Test
  public void pendingRequestsAreNotifiedOfADisconnect() {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.send(REQUEST.formatted("a") + REQUEST.formatted("b"));
    caller.channel.finish();
    caller.channel.runPendingTasks();
    assertEquals(caller.disconnected, List.of("/a", "/b"));
  }

  @DataProvider
  public Object[][] transferEncodings() {
    return new Object[][] {
      {"identity"},
      {"gzip"},
      {"xchunked"},
      {"chunked, gzip"},
      {"gzip, chunked"},
      {"chunked\r\nTransfer-Encoding: identity"},
      {"identity\r\nContent-Length: 0"},
    };
  }

  /** Guards against a body of unknown length that is read as further requests. */
  @Test(dataProvider = "transferEncodings")
  public void bodyInAnUnknownTransferEncodingIsNotReadAsRequest(String encoding) {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.send(
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
            + encoding
            + "\r\n\r\n0\r\n\r\n"
            + REQUEST.formatted("b"));
    assertEquals(caller.responseConsumers.size(), 0);
    assertTrue(caller.received().startsWith("HTTP/1.1 400 "));
  }

  /** Guards against refusing the encoding that bodies without a length have. */
  @Test
  public void bodyInChunksIsAccepted() {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n");
    caller.send("3\r\nabc\r\n0\r\n\r\n");
    assertEquals(caller.responseConsumers.size(), 1);
  }

  @Test
  public void bodyAboveTheLimitIsRejected() {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    assertTrue(caller.received().startsWith("HTTP/1.1 413 "));
    assertEquals(caller.responseConsumers.size(), 0);
  }

  /**
   * Callers send large bodies until the memory limit for bodies is reached. The next request must
   * be rejected with status 503, which promises that it was not executed, and answered requests
   * must release their memory.
   */
  @Test
  public void bodiesAboveTheMemoryLimitAreRejectedUntilMemoryIsReleased() {
    EmbeddedCaller caller = new EmbeddedCaller();
    CallerListener listener = caller.listener;
    assertTrue(listener.memory().reserve(32 << 20));
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    assertTrue(caller.received().startsWith("HTTP/1.1 503 "));
    listener.memory().release(32 << 20);
    EmbeddedCaller next = new EmbeddedCaller(listener);
    next.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    assertEquals(next.responseConsumers.size(), 1);
    assertFalse(listener.memory().reserve(32 << 20));
    next.respond(0);
    assertTrue(listener.memory().reserve(32 << 20));
  }

  /** Guards against receiving a body of known length that cannot be held when it is complete. */
  @Test
  public void bodyThatCannotBeHeldIsRejectedBeforeItIsSent() {
    EmbeddedCaller caller = new EmbeddedCaller();
    assertTrue(caller.listener.memory().reserve((32 << 20) - 2));
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n");
    assertTrue(caller.received().startsWith("HTTP/1.1 503 "));
  }

  /** Guards against the buffer of a rejected body that is held until its caller has closed. */
  @Test
  public void rejectedBodyIsDroppedAtOnce() {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    assertTrue(caller.listener.memory().reservedBytes() > 0);
    caller.send("no chunk size\r\n");
    assertTrue(caller.received().startsWith("HTTP/1.1 400 "));
    assertEquals(caller.listener.memory().reservedBytes(), 0);
  }

  /** Responses that their caller reads slowly. */
  public static final class BeingSent {
    private static final int LARGE_BODY_BYTES = 1 << 20;

    private static EmbeddedCaller slowCaller() {
      EmbeddedCaller caller = new EmbeddedCaller();
      caller.link.holding = true;
      caller.send(REQUEST.formatted("a"));
      caller.respond(0, LARGE_BODY_BYTES);
      return caller;
    }

    /** Guards against closing a connection as idle while its caller reads a response. */
    @Test
    public void connectionIsNotIdle() {
      EmbeddedCaller caller = slowCaller();
      for (int i = 0; i < 4; i++) {
        caller.advance(10);
        assertTrue(caller.channel.isOpen());
        caller.link.readOne();
      }
      caller.link.readAll();
      caller.advance(14);
      assertTrue(caller.channel.isOpen());
      caller.advance(2);
      assertFalse(caller.channel.isOpen());
      assertEquals(caller.cut, List.of());
    }

    /** Guards against a caller that reads nothing and holds its connection for ever. */
    @Test
    public void callerThatStopsReadingIsDisconnected() {
      EmbeddedCaller caller = slowCaller();
      caller.link.readOne();
      caller.advance(14);
      assertTrue(caller.channel.isOpen());
      caller.advance(2);
      assertFalse(caller.channel.isOpen());
      assertEquals(caller.cut, List.of("stalled"));
    }

    /** Guards against a stop that cuts responses off which were handed over before. */
    @Test
    public void stopWaitsForThem() {
      EmbeddedCaller caller = slowCaller();
      caller.connection.closeIfIdle();
      assertTrue(caller.channel.isOpen());
      caller.link.readAll();
      caller.connection.closeIfIdle();
      assertFalse(caller.channel.isOpen());
      assertEquals(caller.cut, List.of());
    }

    /** Guards against a stop that cuts off the response which announces the close. */
    @Test
    public void stopWaitsForTheLastOne() {
      EmbeddedCaller caller = new EmbeddedCaller();
      caller.link.holding = true;
      caller.listener.startDraining();
      caller.send(REQUEST.formatted("a") + REQUEST.formatted("b"));
      caller.respond(0, LARGE_BODY_BYTES);
      caller.connection.closeIfIdle();
      assertTrue(caller.channel.isOpen());
      assertTrue(caller.connection.unsentBytes() >= LARGE_BODY_BYTES);
      caller.link.readAll();
      assertFalse(caller.channel.isOpen());
      assertEquals(caller.cut, List.of());
    }
  }
}
