package org.magnoliaswitch.core.request;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.LateAnswers;
import org.magnoliaswitch.core.testing.LateAnswers.Shape;
import org.magnoliaswitch.core.version.RequestKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests exchanges with servers that answer twice, over pooled connections and real sockets. */
public final class ExchangeTest {
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final long DEADLINE_MILLIS = 400;

  /** Deadline of requests that are answered at once, also on a busy machine. */
  private static final long LONG_DEADLINE_MILLIS = 30_000;

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
        LateAnswers answers = new LateAnswers(first, second, shape, cut);
        try (DispatcherSystem system = DispatcherSystem.answering(answers.numberedById())) {
          String before = describe(system.send(kind, LONG_DEADLINE_MILLIS, "r-0"));
          String own = describe(system.send(kind, DEADLINE_MILLIS, "r-1"));
          String after = describe(system.send(kind, LONG_DEADLINE_MILLIS, "r-2"));
          if (!before.equals(first + " answer-0")
              || !(own.equals(second + " answer-1") || own.equals("unknown"))
              || !after.equals("200 answer-2")) {
            wrong.add(cut + ": " + before + ", " + own + ", " + after);
          }
        }
      }
      assertEquals(wrong, List.of(), "of " + (length + 1) + " cuts: " + wrong);
    }

    /** Guards against giving up an answer that follows a whole copy. */
    @Test(dataProvider = "recognizableCopies")
    public void wholeCopyDoesNotCostTheAnswer(Shape shape, RequestKind kind, int first, int second)
        throws Exception {
      LateAnswers answers = new LateAnswers(first, second, shape, Integer.MAX_VALUE);
      try (DispatcherSystem system = DispatcherSystem.answering(answers)) {
        system.send(kind, DEADLINE_MILLIS, "r-0");
        assertEquals(describe(system.send(kind, DEADLINE_MILLIS, "r-1")), second + " answer-1");
      }
    }

    /** Guards against the copy of an answer to the same id, which a caller may send again. */
    @Test(dataProvider = "copies")
    public void callerThatRepeatsItsIdGetsTheAnswerToTheLaterRequest(
        Shape shape, RequestKind kind, int first, int second) throws Exception {
      LateAnswers answers = new LateAnswers(first, second, shape, Integer.MAX_VALUE);
      try (DispatcherSystem system = DispatcherSystem.answering(answers)) {
        system.send(kind, DEADLINE_MILLIS, "r-0");
        assertEquals(describe(system.send(kind, DEADLINE_MILLIS, "r-0")), second + " answer-1");
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
}
