package org.magnoliaswitch.core.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.clock.HybridClock;
import org.magnoliaswitch.core.peer.MemberState;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.core.process.LeavingServers;
import org.magnoliaswitch.core.process.Membership;
import org.magnoliaswitch.core.process.ServiceRegistry;
import org.magnoliaswitch.core.process.ServiceState;
import org.magnoliaswitch.core.process.Timeline;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.ScriptedServer;
import org.magnoliaswitch.core.testing.ScriptedServer.Action;
import org.magnoliaswitch.core.version.Profile;
import org.magnoliaswitch.core.version.RequestKind;
import org.magnoliaswitch.core.version.RetryPolicy;
import org.magnoliaswitch.core.version.Snapshot;
import org.magnoliaswitch.core.version.SnapshotParser;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the replies to callers when backend servers fail, over real sockets. */
public final class DispatcherTest {
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
      try (TestSystem system = new TestSystem(ATTEMPTS + 2, n -> new Action.Crash())) {
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
      try (TestSystem system = new TestSystem(1, n -> answer)) {
        Reply reply = system.send(kind, 150);
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
      try (TestSystem system = new TestSystem(1, n -> refusal)) {
        for (int i = 0; i < 5; i++) {
          assertEquals(system.send(Declarations.READ, 500).outcome(), Outcome.NOT_EXECUTED);
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
        TestSystem system = new TestSystem(reserved.getLocalPort());
        assertEquals(system.send(Declarations.BOOK, 500).outcome(), Outcome.NOT_EXECUTED);
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
      try (TestSystem system = new TestSystem(3, n -> n == 0 ? first : new Action.Send(COMPLETE))) {
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
      try (TestSystem system =
          new TestSystem(3, n -> n == 0 ? TRUNCATED : new Action.Send(REFUSED))) {
        assertEquals(system.send(Declarations.READ, 500).outcome(), Outcome.UNKNOWN);
      }
    }

    /** Calls pass up to seven layers, so that retries at each layer would multiply. */
    @Test
    public void requestRetriedByOuterLayerIsNotRetried() throws Exception {
      try (TestSystem system = new TestSystem(3, n -> new Action.Send(REFUSED))) {
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
      try (TestSystem system =
          new TestSystem(3, n -> n == 0 ? new Action.Hang() : new Action.Send(COMPLETE), hedging)) {
        assertEquals(system.send(Declarations.READ, 2_000).status(), 200);
        assertEquals(system.requests(), 2);
      }
    }

    /** If every server refuses, further attempts stay within the reserve of the retry budget. */
    @Test
    public void retriesStayWithinBudget() throws Exception {
      try (TestSystem system = new TestSystem(3, n -> new Action.Send(REFUSED))) {
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
    public void connectionIsReusedAfterCompleteAnswer() throws Exception {
      try (TestSystem system = new TestSystem(1, n -> new Action.Send(COMPLETE))) {
        system.send(Declarations.READ, 500);
        system.send(Declarations.READ, 500);
        assertEquals(system.connections(), 1);
      }
    }

    /**
     * The first request times out, but its answer may still arrive on the connection. If the
     * connection were reused, the next caller would receive that answer.
     */
    @Test
    public void connectionIsNotReusedAfterTimeout() throws Exception {
      try (TestSystem system =
          new TestSystem(1, n -> n == 0 ? new Action.Hang() : new Action.Send(COMPLETE))) {
        system.send(Declarations.READ, 50);
        assertEquals(system.send(Declarations.READ, 10_000).status(), 200);
        assertEquals(system.connections(), 2);
      }
    }

    @Test
    public void largeAnswerIsStreamed() throws Exception {
      String body = "x".repeat(200_000);
      Action large = new Action.Send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + body);
      try (TestSystem system = new TestSystem(1, n -> large)) {
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
      try (TestSystem system = new TestSystem(1, n -> truncated)) {
        Reply.Body.Streaming stream =
            (Reply.Body.Streaming) system.send(Declarations.READ, 500).body();
        org.testng.Assert.assertThrows(IOException.class, () -> stream.stream().readAllBytes());
        stream.completion().completed(false);
      }
    }
  }

  /** A dispatcher with raw servers that share one sequence of answers. */
  private static final class TestSystem implements AutoCloseable {
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final Clocks clocks = Clocks.system();
    private final ServiceState service;
    private final Dispatcher dispatcher;
    private final java.util.concurrent.atomic.AtomicInteger nextAnswer =
        new java.util.concurrent.atomic.AtomicInteger();

    TestSystem(int count, IntFunction<Action> answers) throws Exception {
      this(count, answers, Declarations.profile().retry());
    }

    TestSystem(int count, IntFunction<Action> answers, RetryPolicy retry) throws Exception {
      for (int i = 0; i < count; i++) {
        servers.add(new ScriptedServer(n -> answers.apply(nextAnswer.getAndIncrement())));
      }
      int[] ports = servers.stream().mapToInt(ScriptedServer::port).toArray();
      this.service = service(ports, retry);
      this.dispatcher = dispatcher();
    }

    /** Creates a dispatcher with one port on which no server listens. */
    TestSystem(int port) throws Exception {
      this.service = service(new int[] {port}, Declarations.profile().retry());
      this.dispatcher = dispatcher();
    }

    private ServiceState service(int[] ports, RetryPolicy retry) throws Exception {
      Profile base = Declarations.profile();
      Profile profile =
          new Profile(
              base.name(),
              base.routing(),
              base.measuring(),
              base.admission(),
              retry,
              base.keys(),
              base.refusalStatuses(),
              base.kinds());
      Snapshot snapshot =
          SnapshotParser.parse(1, "d", Declarations.parts(profile, Declarations.service(ports)));
      Membership membership =
          new Membership(
              new org.magnoliaswitch.core.peer.Member(
                  "me", "i", "dc-1", "127.0.0.1", 1, 2, 3, 0, MemberState.SERVING),
              clocks);
      ServiceRegistry registry = new ServiceRegistry(membership, clocks);
      registry.apply(snapshot);
      return registry.state().services().get("booking");
    }

    private Dispatcher dispatcher() {
      Timeline timeline = new Timeline("i", new HybridClock(clocks.wall()), 100);
      LeavingServers leaving = new LeavingServers(clocks);
      AttemptRunner runner = new AttemptRunner(clocks, timeline, leaving, () -> {});
      SplittableRandom random = new SplittableRandom(1);
      return new Dispatcher(
          clocks, timeline, leaving, runner, new CrashWatch(clocks), "dc-1", () -> random);
    }

    Reply send(RequestKind kind, long deadlineMillis) {
      return send(kind, deadlineMillis, 1);
    }

    Reply send(RequestKind kind, long deadlineMillis, int attempt) {
      return dispatcher.dispatch(
          new InboundRequest(
              "r",
              kind.method(),
              "/booking/book",
              List.of(),
              new InboundRequest.Body.Buffered(new byte[3]),
              service,
              kind,
              Deadline.after(clocks.nanos(), deadlineMillis),
              new InboundRequest.Attempt(attempt, true, ""),
              Optional.empty(),
              "10.0.0.1"));
    }

    int requests() {
      return servers.stream().mapToInt(ScriptedServer::requests).sum();
    }

    int connections() {
      return servers.stream().mapToInt(ScriptedServer::connections).sum();
    }

    int inFlight() {
      return service.admission().inFlight();
    }

    @Override
    public void close() throws IOException {
      for (ScriptedServer server : servers) {
        server.close();
      }
    }
  }
}
