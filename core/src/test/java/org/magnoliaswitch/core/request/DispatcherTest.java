package org.magnoliaswitch.core.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.TimelineEvent;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.ScriptedServer.Action;
import org.magnoliaswitch.core.version.RequestKind;
import org.magnoliaswitch.core.version.RetryPolicy;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the replies to callers when backend servers fail, over real sockets. */
public final class DispatcherTest {
  private static final long SHORT_DEADLINE_MILLIS = 150;

  /** Deadline of requests that are answered at once, also on a busy machine. */
  private static final long LONG_DEADLINE_MILLIS = 30_000;

  private static final String COMPLETE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
  private static final String REFUSED = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  private static final Action TRUNCATED =
      new Action.SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole");
  private static final Action TRUNCATED_CHUNKS =
      new Action.SendAndClose(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n");
  private static final Action NO_LENGTH = new Action.SendAndClose("HTTP/1.1 200 OK\r\n\r\nwhole");
  private static final Action CLOSED = new Action.SendAndClose("");
  private static final Action GARBAGE = new Action.SendAndClose("\0\0 nonsense\r\n\r\n");

  /** Servers that crash while serving a request. */
  public static final class CrashingServers {
    private static final int ATTEMPTS = 8;

    /**
     * Two crashes before the request is known as a suspect, one during its trial, and three more as
     * a tolerance.
     */
    private static final int MAX_CRASHES = 6;

    /**
     * An idempotent request crashes every server that starts to execute it, and its caller retries
     * at once. After the first crashes the request is rejected, and reported as not executed only
     * if nothing was sent.
     */
    @Test
    public void idempotentRequestIsRejectedAfterFirstCrashes() throws Exception {
      assertRejectedAfterFirstCrashes(Declarations.READ);
    }

    /**
     * A non-idempotent request crashes one server with each attempt of its caller. After the first
     * crashes the request is rejected, and reported as not executed only if nothing was sent.
     */
    @Test
    public void nonIdempotentRequestIsRejectedAfterFirstCrashes() throws Exception {
      assertRejectedAfterFirstCrashes(Declarations.BOOK);
    }

    private static void assertRejectedAfterFirstCrashes(RequestKind kind) throws Exception {
      try (DispatcherSystem system = new DispatcherSystem(ATTEMPTS + 2, n -> new Action.Crash())) {
        Outcome outcome = Outcome.UNKNOWN;
        for (int i = 0; i < ATTEMPTS; i++) {
          int before = system.requests();
          outcome = system.send(kind, 5_000).outcome();
          boolean sent = system.requests() > before;
          assertEquals(outcome, sent ? Outcome.UNKNOWN : Outcome.NOT_EXECUTED);
        }
        assertEquals(outcome, Outcome.NOT_EXECUTED);
        assertTrue(system.requests() <= MAX_CRASHES, system.requests() + " servers crashed");
      }
    }
  }

  /**
   * A single server that gives the same answer to every request, so that no retry on another server
   * is possible.
   */
  public static final class OneServer {
    @DataProvider
    public static Object[][] faults() {
      RequestKind read = Declarations.READ;
      RequestKind book = Declarations.BOOK;
      return new Object[][] {
        {read, new Action.Send(COMPLETE), 200, Outcome.EXECUTED, 1},
        {read, new Action.Send(CHUNKED), 200, Outcome.EXECUTED, 1},
        {read, TRUNCATED, 502, Outcome.UNKNOWN, 1},
        {read, TRUNCATED_CHUNKS, 502, Outcome.UNKNOWN, 1},
        {read, NO_LENGTH, 502, Outcome.UNKNOWN, 1},
        {read, CLOSED, 502, Outcome.UNKNOWN, 1},
        {read, GARBAGE, 502, Outcome.UNKNOWN, 1},
        {read, new Action.Send(REFUSED), 503, Outcome.NOT_EXECUTED, 1},
        {read, new Action.Hang(), 504, Outcome.UNKNOWN, 1},
        {book, new Action.Send(COMPLETE), 200, Outcome.EXECUTED, 1},
        {book, TRUNCATED, 502, Outcome.UNKNOWN, 1},
        {book, CLOSED, 502, Outcome.UNKNOWN, 1},
        {book, new Action.Send(REFUSED), 503, Outcome.NOT_EXECUTED, 1},
        {book, new Action.Hang(), 504, Outcome.UNKNOWN, 1},
      };
    }

    @Test(dataProvider = "faults")
    public void reportsActualOutcome(
        RequestKind kind, Action answer, int status, Outcome outcome, int requests)
        throws Exception {
      try (DispatcherSystem system = new DispatcherSystem(1, n -> answer)) {
        boolean hangs = answer instanceof Action.Hang;
        Reply reply = system.send(kind, hangs ? SHORT_DEADLINE_MILLIS : LONG_DEADLINE_MILLIS);
        assertEquals(reply.status(), status);
        assertEquals(reply.outcome(), outcome);
        assertEquals(system.requests(), requests);
      }
    }

    /** Guards against sending requests to a server that asked for a pause by Retry-After. */
    @Test
    public void serverThatSentRetryAfterReceivesNoRequests() throws Exception {
      Action refusal =
          new Action.Send("HTTP/1.1 503 Full\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n");
      try (DispatcherSystem system = new DispatcherSystem(1, n -> refusal)) {
        for (int i = 0; i < 5; i++) {
          assertEquals(
              system.send(Declarations.READ, LONG_DEADLINE_MILLIS).outcome(), Outcome.NOT_EXECUTED);
        }
        assertEquals(system.requests(), 1);
      }
    }

    /**
     * The port is bound without a listener, so that no other process can use it during the test.
     */
    @Test
    public void requestWithoutListeningServerIsNotExecuted() throws Exception {
      try (Socket reserved = new Socket()) {
        reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        DispatcherSystem system = new DispatcherSystem(reserved.getLocalPort());
        assertEquals(
            system.send(Declarations.BOOK, LONG_DEADLINE_MILLIS).outcome(), Outcome.NOT_EXECUTED);
      }
    }
  }

  /** Three servers whose answers depend on the order in which requests arrive. */
  public static final class SeveralServers {
    @DataProvider
    public static Object[][] faults() {
      return new Object[][] {
        {Declarations.READ, TRUNCATED, 200, 2},
        {Declarations.READ, CLOSED, 200, 2},
        {Declarations.READ, new Action.Send(REFUSED), 200, 2},
        {Declarations.BOOK, new Action.Send(REFUSED), 200, 2},
        {Declarations.BOOK, TRUNCATED, 502, 1},
        {Declarations.BOOK, CLOSED, 502, 1},
      };
    }

    @Test(dataProvider = "faults")
    public void retriesOnlyWhatMayBeExecutedTwice(
        RequestKind kind, Action first, int status, int requests) throws Exception {
      try (DispatcherSystem system =
          new DispatcherSystem(3, n -> n == 0 ? first : new Action.Send(COMPLETE))) {
        assertEquals(system.send(kind, 500).status(), status);
        assertEquals(system.requests(), requests);
      }
    }

    /**
     * The first attempt broke after the request had been sent, and the second was refused.
     * Reporting the outcome of the last attempt alone would be a false "not executed".
     */
    @Test
    public void outcomeStaysUnknownWhenRefusalFollowsBrokenAttempt() throws Exception {
      try (DispatcherSystem system =
          new DispatcherSystem(3, n -> n == 0 ? TRUNCATED : new Action.Send(REFUSED))) {
        assertEquals(system.send(Declarations.READ, 500).outcome(), Outcome.UNKNOWN);
      }
    }

    /** Calls pass up to seven layers, so that retries at each layer would multiply. */
    @Test
    public void requestRetriedByOuterLayerIsNotRetried() throws Exception {
      try (DispatcherSystem system = new DispatcherSystem(3, n -> new Action.Send(REFUSED))) {
        system.send(Declarations.READ, 500, 2);
        assertEquals(system.requests(), 1);
      }
    }

    /**
     * A second attempt on another server is answered long before the deadline of a request to a
     * silent server.
     */
    @Test
    public void hedgeAnswersBeforeSilentServer() throws Exception {
      RetryPolicy hedging = new RetryPolicy(0.1, 2, true, 0.95);
      try (DispatcherSystem system =
          new DispatcherSystem(
              3, n -> n == 0 ? new Action.Hang() : new Action.Send(COMPLETE), hedging)) {
        assertEquals(system.send(Declarations.READ, 2_000).status(), 200);
        assertEquals(system.requests(), 2);
      }
    }

    /** If every server refuses, further attempts stay within the reserve of the retry budget. */
    @Test
    public void retriesStayWithinBudget() throws Exception {
      try (DispatcherSystem system = new DispatcherSystem(3, n -> new Action.Send(REFUSED))) {
        for (int i = 0; i < 60; i++) {
          system.send(Declarations.READ, 500);
        }
        assertTrue(system.requests() <= 60 + 5 + 6, "requests " + system.requests());
      }
    }
  }

  /** Reuse of connections and streamed answers. */
  public static final class Connections {
    @Test
    public void connectionIsReusedAfterCompleteAnswerWithItsId() throws Exception {
      try (DispatcherSystem system = DispatcherSystem.echoing(COMPLETE)) {
        system.send(Declarations.READ, LONG_DEADLINE_MILLIS, "r-1");
        system.send(Declarations.READ, LONG_DEADLINE_MILLIS, "r-2");
        assertEquals(system.connections(), 1);
      }
    }

    /** Guards against a late response that has the same id as the one to the later request. */
    @Test
    public void connectionIsNotReusedForTheSameId() throws Exception {
      try (DispatcherSystem system = DispatcherSystem.echoing(COMPLETE)) {
        system.send(Declarations.READ, LONG_DEADLINE_MILLIS, "r-1");
        system.send(Declarations.READ, LONG_DEADLINE_MILLIS, "r-1");
        assertEquals(system.connections(), 2);
      }
    }

    /** Guards against a late response of a server whose responses cannot be told apart. */
    @Test
    public void connectionIsNotReusedAfterAnswerWithoutId() throws Exception {
      try (DispatcherSystem system = new DispatcherSystem(1, n -> new Action.Send(COMPLETE))) {
        system.send(Declarations.READ, LONG_DEADLINE_MILLIS, "r-1");
        system.send(Declarations.READ, LONG_DEADLINE_MILLIS, "r-2");
        assertEquals(system.connections(), 2);
      }
    }

    /**
     * Guards against refusals without an id that are reported as unknown each time, since the
     * server echoes the id in its other responses.
     */
    @Test
    public void refusalsWithoutIdAreHeardOnNewConnections() throws Exception {
      try (DispatcherSystem system =
          DispatcherSystem.answering(
              received ->
                  received.index() == 0
                      ? new Action.Send(DispatcherSystem.withId(COMPLETE, received.id()))
                      : new Action.Send(REFUSED))) {
        assertEquals(system.send(Declarations.BOOK, LONG_DEADLINE_MILLIS, "r-1").status(), 200);
        assertEquals(
            system.send(Declarations.BOOK, LONG_DEADLINE_MILLIS, "r-2").outcome(), Outcome.UNKNOWN);
        for (int i = 3; i < 10; i++) {
          assertEquals(
              system.send(Declarations.BOOK, LONG_DEADLINE_MILLIS, "r-" + i).outcome(),
              Outcome.NOT_EXECUTED);
        }
      }
    }

    /** Guards against a time line that does not tell why a response was not passed on. */
    @Test
    public void refusedResponsesAreRecordedOnceForAnExchange() throws Exception {
      try (DispatcherSystem system =
          DispatcherSystem.answering(
              received ->
                  new Action.Send(
                      DispatcherSystem.withId(COMPLETE, "other").repeat(2 * received.index())
                          + DispatcherSystem.withId(COMPLETE, received.id())))) {
        assertEquals(system.send(Declarations.READ, LONG_DEADLINE_MILLIS, "other").status(), 200);
        assertEquals(system.send(Declarations.READ, LONG_DEADLINE_MILLIS, "r-1").status(), 200);
        List<TimelineEvent> events =
            system.timeline().events().stream()
                .filter(event -> event.kind() == EventKind.RESPONSE_REFUSED)
                .toList();
        assertEquals(events.size(), 1);
        assertEquals(events.getFirst().request(), "r-1");
        assertEquals(events.getFirst().detail(), "reason=other_id echoed=other status=200 count=2");
        assertEquals(system.refusedResponses().count(), 2);
      }
    }

    /** Guards against the id of an earlier request in an answer that is kept. */
    @Test
    public void idIsNoPartOfTheAnswer() throws Exception {
      try (DispatcherSystem system = DispatcherSystem.echoing(COMPLETE)) {
        Reply reply = system.send(Declarations.BOOK, LONG_DEADLINE_MILLIS, "r-1");
        assertTrue(reply.fields().stream().noneMatch(field -> field.hasName("X-Request-Id")));
      }
    }

    /**
     * The first request times out, but its answer may still arrive on the connection. If the
     * connection were reused, the next caller would receive that answer.
     */
    @Test
    public void connectionIsNotReusedAfterTimeout() throws Exception {
      try (DispatcherSystem system =
          new DispatcherSystem(1, n -> n == 0 ? new Action.Hang() : new Action.Send(COMPLETE))) {
        system.send(Declarations.READ, 50);
        assertEquals(system.send(Declarations.READ, 10_000).status(), 200);
        assertEquals(system.connections(), 2);
      }
    }

    @Test
    public void largeAnswerIsStreamed() throws Exception {
      String body = "x".repeat(200_000);
      Action large = new Action.Send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + body);
      try (DispatcherSystem system = new DispatcherSystem(1, n -> large)) {
        Reply.Body.Streaming stream =
            (Reply.Body.Streaming) system.send(Declarations.READ, 500).body();
        try (InputStream in = stream.stream()) {
          assertEquals(new String(in.readAllBytes(), StandardCharsets.ISO_8859_1), body);
        }
        stream.completion().completed(true);
        assertEquals(system.inFlight(), 0);
      }
    }

    @Test
    public void truncatedLargeAnswerFailsWhileItIsRead() throws Exception {
      Action truncated =
          new Action.SendAndClose(
              "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + "x".repeat(200_000));
      try (DispatcherSystem system = new DispatcherSystem(1, n -> truncated)) {
        Reply.Body.Streaming stream =
            (Reply.Body.Streaming) system.send(Declarations.READ, 500).body();
        org.testng.Assert.assertThrows(IOException.class, () -> stream.stream().readAllBytes());
        stream.completion().completed(false);
      }
    }
  }
}
