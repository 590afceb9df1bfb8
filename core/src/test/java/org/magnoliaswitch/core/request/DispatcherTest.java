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

/** What callers are told when backend servers misbehave, over real sockets. */
public final class DispatcherTest {
  private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
  private static final String REFUSED = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  private static final Action CUT =
      new Action.SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole");
  private static final Action CUT_CHUNKS =
      new Action.SendAndClose(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n");
  private static final Action UNTIL_CLOSE = new Action.SendAndClose("HTTP/1.1 200 OK\r\n\r\nwhole");
  private static final Action CLOSED = new Action.SendAndClose("");
  private static final Action GARBAGE = new Action.SendAndClose("\0\0 nonsense\r\n\r\n");

  /** Servers that end under a request. */
  public static final class ServersThatEnd {
    private static final int TRIES = 8;

    /** Two before anything is known, one at risk, and three more as the users allow. */
    private static final int MOST_ENDS = 6;

    /**
     * A read ends every server that begins to run it, and its caller comes back at once. After the
     * first servers it is turned away, and told so only where nothing was sent.
     */
    @Test
    public void aReadIsTurnedAwayAfterTheFirst() throws Exception {
      assertTurnedAway(Declarations.READ);
    }

    /** The same of a booking, of which each try ends one server. */
    @Test
    public void aBookingIsTurnedAwayAfterTheFirst() throws Exception {
      assertTurnedAway(Declarations.BOOK);
    }

    private static void assertTurnedAway(RequestKind kind) throws Exception {
      try (Bench bench = new Bench(TRIES + 2, n -> new Action.Crash())) {
        Outcome last = Outcome.UNKNOWN;
        for (int i = 0; i < TRIES; i++) {
          int before = bench.requests();
          last = bench.send(kind, 5_000).outcome();
          boolean sent = bench.requests() > before;
          assertEquals(last, sent ? Outcome.UNKNOWN : Outcome.NOT_EXECUTED);
        }
        assertEquals(last, Outcome.NOT_EXECUTED);
        assertTrue(bench.requests() <= MOST_ENDS, bench.requests() + " servers ended");
      }
    }
  }

  /** One server that answers every request alike; a fault of the first try has no other server. */
  public static final class OneServer {
    @DataProvider
    public static Object[][] faults() {
      RequestKind read = Declarations.READ;
      RequestKind book = Declarations.BOOK;
      return new Object[][] {
        {read, new Action.Send(WHOLE), 200, Outcome.EXECUTED, 1},
        {read, new Action.Send(CHUNKED), 200, Outcome.EXECUTED, 1},
        {read, CUT, 502, Outcome.UNKNOWN, 1},
        {read, CUT_CHUNKS, 502, Outcome.UNKNOWN, 1},
        {read, UNTIL_CLOSE, 502, Outcome.UNKNOWN, 1},
        {read, CLOSED, 502, Outcome.UNKNOWN, 1},
        {read, GARBAGE, 502, Outcome.UNKNOWN, 1},
        {read, new Action.Send(REFUSED), 503, Outcome.NOT_EXECUTED, 1},
        {read, new Action.Hang(), 504, Outcome.UNKNOWN, 1},
        {book, new Action.Send(WHOLE), 200, Outcome.EXECUTED, 1},
        {book, CUT, 502, Outcome.UNKNOWN, 1},
        {book, CLOSED, 502, Outcome.UNKNOWN, 1},
        {book, new Action.Send(REFUSED), 503, Outcome.NOT_EXECUTED, 1},
        {book, new Action.Hang(), 504, Outcome.UNKNOWN, 1},
      };
    }

    @Test(dataProvider = "faults")
    public void tellsTheTruth(
        RequestKind kind, Action answer, int status, Outcome outcome, int requests)
        throws Exception {
      try (Bench bench = new Bench(1, n -> answer)) {
        Reply reply = bench.send(kind, 150);
        assertEquals(reply.status(), status);
        assertEquals(reply.outcome(), outcome);
        assertEquals(bench.requests(), requests);
      }
    }

    /** Guards against requests that go on reaching a server that asked for a pause. */
    @Test
    public void aServerThatAsksForAPauseGetsNothingMeanwhile() throws Exception {
      Action shed =
          new Action.Send("HTTP/1.1 503 Full\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n");
      try (Bench bench = new Bench(1, n -> shed)) {
        for (int i = 0; i < 5; i++) {
          assertEquals(bench.send(Declarations.READ, 500).outcome(), Outcome.NOT_EXECUTED);
        }
        assertEquals(bench.requests(), 1);
      }
    }

    /** The port is bound but nobody listens, so that no other process can take it meanwhile. */
    @Test
    public void nothingListeningIsNotExecuted() throws Exception {
      try (Socket reserved = new Socket()) {
        reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Bench bench = new Bench(reserved.getLocalPort());
        assertEquals(bench.send(Declarations.BOOK, 500).outcome(), Outcome.NOT_EXECUTED);
      }
    }
  }

  /** Three servers that share the answers by order of arrival. */
  public static final class SeveralServers {
    @DataProvider
    public static Object[][] faults() {
      return new Object[][] {
        {Declarations.READ, CUT, 200, 2},
        {Declarations.READ, CLOSED, 200, 2},
        {Declarations.READ, new Action.Send(REFUSED), 200, 2},
        {Declarations.BOOK, new Action.Send(REFUSED), 200, 2},
        {Declarations.BOOK, CUT, 502, 1},
        {Declarations.BOOK, CLOSED, 502, 1},
      };
    }

    @Test(dataProvider = "faults")
    public void triesAgainOnlyWhatMayRunTwice(
        RequestKind kind, Action first, int status, int requests) throws Exception {
      try (Bench bench = new Bench(3, n -> n == 0 ? first : new Action.Send(WHOLE))) {
        assertEquals(bench.send(kind, 500).status(), status);
        assertEquals(bench.requests(), requests);
      }
    }

    /**
     * The first attempt broke after its bytes had left, and the second could not be sent. Telling
     * the outcome of the last attempt alone would be a false "not executed".
     */
    @Test
    public void aBrokenAttemptBeforeARefusalStaysUnknown() throws Exception {
      try (Bench bench = new Bench(3, n -> n == 0 ? CUT : new Action.Send(REFUSED))) {
        assertEquals(bench.send(Declarations.READ, 500).outcome(), Outcome.UNKNOWN);
      }
    }

    /** A retry of an outer layer is not multiplied here: calls go up to seven layers deep. */
    @Test
    public void doesNotRetryWhatAnOuterLayerRetries() throws Exception {
      try (Bench bench = new Bench(3, n -> new Action.Send(REFUSED))) {
        bench.send(Declarations.READ, 500, 2);
        assertEquals(bench.requests(), 1);
      }
    }

    /** A silent server is overtaken by a second attempt elsewhere, long before the deadline. */
    @Test
    public void aHedgeOvertakesASilentServer() throws Exception {
      RetryPolicy hedging = new RetryPolicy(0.1, 2, true, 0.95);
      try (Bench bench =
          new Bench(3, n -> n == 0 ? new Action.Hang() : new Action.Send(WHOLE), hedging)) {
        assertEquals(bench.send(Declarations.READ, 2_000).status(), 200);
        assertEquals(bench.requests(), 2);
      }
    }

    /** With every server refusing, attempts beyond the first stay within the budget's reserve. */
    @Test
    public void retriesEndWithTheBudget() throws Exception {
      try (Bench bench = new Bench(3, n -> new Action.Send(REFUSED))) {
        for (int i = 0; i < 60; i++) {
          bench.send(Declarations.READ, 500);
        }
        assertTrue(bench.requests() <= 60 + 5 + 6, "requests " + bench.requests());
      }
    }
  }

  /** Connections and what happens to them. */
  public static final class Connections {
    @Test
    public void aWholeAnswerKeepsItsConnection() throws Exception {
      try (Bench bench = new Bench(1, n -> new Action.Send(WHOLE))) {
        bench.send(Declarations.READ, 500);
        bench.send(Declarations.READ, 500);
        assertEquals(bench.connections(), 1);
      }
    }

    /**
     * The first request times out; its answer may still come on the same connection. If that were
     * reused, the next caller would get the first one's answer.
     */
    @Test
    public void aTimedOutExchangeBurnsItsConnection() throws Exception {
      try (Bench bench = new Bench(1, n -> n == 0 ? new Action.Hang() : new Action.Send(WHOLE))) {
        bench.send(Declarations.READ, 50);
        assertEquals(bench.send(Declarations.READ, 500).status(), 200);
        assertEquals(bench.connections(), 2);
      }
    }

    @Test
    public void aLargeAnswerIsPassedOnAsAStream() throws Exception {
      String body = "x".repeat(200_000);
      Action large = new Action.Send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + body);
      try (Bench bench = new Bench(1, n -> large)) {
        Reply.Body.Streaming stream =
            (Reply.Body.Streaming) bench.send(Declarations.READ, 500).body();
        try (InputStream in = stream.stream()) {
          assertEquals(new String(in.readAllBytes(), StandardCharsets.ISO_8859_1), body);
        }
        stream.end().ended(true);
        assertEquals(bench.inFlight(), 0);
      }
    }

    @Test
    public void aLargeAnswerCutShortFailsWhileItIsRead() throws Exception {
      Action cut =
          new Action.SendAndClose(
              "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + "x".repeat(200_000));
      try (Bench bench = new Bench(1, n -> cut)) {
        Reply.Body.Streaming stream =
            (Reply.Body.Streaming) bench.send(Declarations.READ, 500).body();
        org.testng.Assert.assertThrows(IOException.class, () -> stream.stream().readAllBytes());
        stream.end().ended(false);
      }
    }
  }

  /** A dispatcher in front of raw servers that share one sequence of answers. */
  private static final class Bench implements AutoCloseable {
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final Clocks clocks = Clocks.system();
    private final ServiceState service;
    private final Dispatcher dispatcher;
    private final java.util.concurrent.atomic.AtomicInteger order =
        new java.util.concurrent.atomic.AtomicInteger();

    Bench(int count, IntFunction<Action> answers) throws Exception {
      this(count, answers, Declarations.profile().retry());
    }

    Bench(int count, IntFunction<Action> answers, RetryPolicy retry) throws Exception {
      for (int i = 0; i < count; i++) {
        servers.add(new ScriptedServer(n -> answers.apply(order.getAndIncrement())));
      }
      int[] ports = servers.stream().mapToInt(ScriptedServer::port).toArray();
      this.service = service(ports, retry);
      this.dispatcher = dispatcher();
    }

    /** In front of one port where no server is. */
    Bench(int port) throws Exception {
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
              new InboundRequest.Body.Whole(new byte[3]),
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
