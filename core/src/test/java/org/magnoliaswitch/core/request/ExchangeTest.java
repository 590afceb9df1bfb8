package org.magnoliaswitch.core.request;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.clock.HybridClock;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.MemberState;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.core.process.LeavingServers;
import org.magnoliaswitch.core.process.Membership;
import org.magnoliaswitch.core.process.ServiceRegistry;
import org.magnoliaswitch.core.process.ServiceState;
import org.magnoliaswitch.core.process.Timeline;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.LateAnswers;
import org.magnoliaswitch.core.testing.LateAnswers.Shape;
import org.magnoliaswitch.core.testing.ScriptedServer;
import org.magnoliaswitch.core.version.RequestKind;
import org.magnoliaswitch.core.version.SnapshotParser;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests exchanges with servers that answer twice, over pooled connections and real sockets. */
public final class ExchangeTest {
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final long DEADLINE_MILLIS = 400;

  /** Late copies that break off or arrive whole. */
  public static final class LateCopies {
    /** Copies of which it can be told that they are no answer to the pending request. */
    @DataProvider
    public static Object[][] recognizableCopies() {
      return Arrays.stream(copies())
          .filter(row -> !Shape.LATE_WITHOUT_ID.equals(row[0]))
          .toArray(Object[][]::new);
    }

    @DataProvider
    public static Object[][] copies() {
      List<Object[]> rows = new ArrayList<>();
      for (Shape shape : Shape.values()) {
        for (RequestKind kind : List.of(Declarations.READ, Declarations.BOOK)) {
          rows.add(new Object[] {shape, kind, 200, 500});
          rows.add(new Object[] {shape, kind, 500, 200});
        }
      }
      return rows.toArray(Object[][]::new);
    }

    /**
     * Guards against an answer that has the status, the headers or the body of the answer to an
     * earlier request. The copy breaks off after each number of its bytes in turn.
     */
    @Test(dataProvider = "copies")
    public void callerGetsItsOwnAnswerOrNone(Shape shape, RequestKind kind, int first, int second)
        throws Exception {
      List<String> wrong = new ArrayList<>();
      int length = new LateAnswers(first, second, shape, 0).lateLength();
      for (int cut = 0; cut <= length; cut++) {
        try (TestSystem system = new TestSystem(new LateAnswers(first, second, shape, cut))) {
          String before = describe(system.send(kind, "r-0"));
          String own = describe(system.send(kind, "r-1"));
          String after = describe(system.send(kind, "r-2"));
          if (!before.equals(first + " answer-0")
              || !(own.equals(second + " answer-1") || own.equals("unknown"))
              || !after.equals("200 answer-2")) {
            wrong.add(cut + ": " + before + ", " + own + ", " + after);
          }
        }
      }
      assertEquals(wrong, List.of(), wrong.size() + " of " + (length + 1) + " cuts");
    }

    /** Guards against giving up an answer that follows a whole copy. */
    @Test(dataProvider = "recognizableCopies")
    public void wholeCopyDoesNotCostTheAnswer(Shape shape, RequestKind kind, int first, int second)
        throws Exception {
      LateAnswers answers = new LateAnswers(first, second, shape, Integer.MAX_VALUE);
      try (TestSystem system = new TestSystem(answers)) {
        system.send(kind, "r-0");
        assertEquals(describe(system.send(kind, "r-1")), second + " answer-1");
      }
    }

    /** Guards against the copy of an answer to the same id, which a caller may send again. */
    @Test(dataProvider = "copies")
    public void callerThatRepeatsItsIdGetsTheAnswerToTheLaterRequest(
        Shape shape, RequestKind kind, int first, int second) throws Exception {
      LateAnswers answers = new LateAnswers(first, second, shape, Integer.MAX_VALUE);
      try (TestSystem system = new TestSystem(answers)) {
        system.send(kind, "r-0");
        assertEquals(describe(system.send(kind, "r-0")), second + " answer-1");
      }
    }
  }

  private static String describe(Reply reply) {
    byte[] body = reply.bufferedBody();
    boolean none = reply.status() == BAD_GATEWAY || reply.status() == GATEWAY_TIMEOUT;
    return none && reply.outcome() == Outcome.UNKNOWN
        ? "unknown"
        : reply.status()
            + " "
            + (body == null ? "streamed" : new String(body, StandardCharsets.ISO_8859_1));
  }

  /** A dispatcher with one server. */
  private static final class TestSystem implements AutoCloseable {
    private final Clocks clocks = Clocks.system();
    private final ScriptedServer server;
    private final ServiceState service;
    private final Dispatcher dispatcher;

    TestSystem(LateAnswers answers) throws Exception {
      this.server = ScriptedServer.answering(answers);
      Member self = new Member("me", "i", "dc-1", "127.0.0.1", 1, 2, 3, 0, MemberState.SERVING);
      ServiceRegistry registry = new ServiceRegistry(new Membership(self, clocks), clocks);
      registry.apply(
          SnapshotParser.parse(
              1,
              "d",
              Declarations.parts(Declarations.profile(), Declarations.service(server.port()))));
      this.service = registry.state().services().get("booking");
      Timeline timeline = new Timeline("i", new HybridClock(clocks.wall()), 100);
      LeavingServers leaving = new LeavingServers(clocks);
      AttemptRunner runner = new AttemptRunner(clocks, timeline, leaving, () -> {});
      SplittableRandom random = new SplittableRandom(1);
      this.dispatcher =
          new Dispatcher(
              clocks, timeline, leaving, runner, new CrashWatch(clocks), "dc-1", () -> random);
    }

    Reply send(RequestKind kind, String id) {
      return dispatcher.dispatch(
          new InboundRequest(
              id,
              kind.method(),
              "/booking/book",
              List.of(),
              new InboundRequest.Body.Buffered(new byte[3]),
              service,
              kind,
              Deadline.after(clocks.nanos(), DEADLINE_MILLIS),
              new InboundRequest.Attempt(1, true, ""),
              Optional.empty(),
              "10.0.0.1"));
    }

    @Override
    public void close() throws Exception {
      server.close();
    }
  }
}
