package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.magnoliaswitch.front.testing.RunningFront;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.ScriptedServer.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What callers see, with real connections on both sides. */
public final class ExchangeTest {
  private static final long PATIENT = 5_000;
  private static final String BOTH_LENGTHS =
      "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n";

  private static int status(String answer) {
    return Integer.parseInt(answer.split(" ", 3)[1]);
  }

  /** Faults of one server, and what becomes of a request that meets it. */
  public static final class Faults {
    /** Each row: name, script, status for a request that may run once, whether it is whole. */
    @DataProvider
    public Object[][] faults() {
      Script truncated =
          r -> {
            r.write("HTTP/1.1 200 X\r\nRequest-Id: " + r.header("Request-Id"));
            r.write("\r\nContent-Length: 9\r\n\r\nabc");
            return false;
          };
      Script garbage =
          r -> {
            r.write("\0\1\2 this is no answer\r\n\r\n");
            return false;
          };
      Script closed = r -> false;
      Script reset = ScriptedServer.Received::reset;
      Script unframedReset =
          r -> {
            r.write("HTTP/1.1 200 X\r\nRequest-Id: " + r.header("Request-Id") + "\r\n\r\nabc");
            r.awaitCloseOrPause();
            return r.reset();
          };
      Script unframed =
          r -> {
            r.write("HTTP/1.1 200 X\r\nRequest-Id: " + r.header("Request-Id") + "\r\n\r\nabc");
            return false;
          };
      Script unconfirmed = r -> r.answer(503, "busy");
      Script notRun =
          r -> {
            r.write("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
          };
      Script replaced =
          r -> {
            r.write("HTTP/1.1 421 X\r\nServer-Id: other\r\nContent-Length: 0\r\n\r\n");
            return true;
          };
      Script strangerFirst =
          r -> {
            r.write("HTTP/1.1 200 X\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\nold");
            return r.answer(200, "own");
          };
      Script noId =
          r -> {
            r.write("HTTP/1.1 200 X\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc");
            return false;
          };
      Script failed = r -> r.answer(500, "error");
      return new Object[][] {
        {"truncated", truncated, 502},
        {"garbage", garbage, 502},
        {"closed", closed, 502},
        {"reset", reset, 502},
        {"unframed, reset", unframedReset, 502},
        {"unframed", unframed, 200},
        {"refusal without a promise", unconfirmed, 502},
        {"not run", notRun, 503},
        {"replaced", replaced, 503},
        {"another's answer first", strangerFirst, 200},
        {"no id", noId, 502},
        {"failed", failed, 500},
      };
    }

    /**
     * The request may run only once and there is one server. Only a server's own word lets it be
     * said that the request has not run (503); after anything else its outcome is unknown.
     */
    @Test(dataProvider = "faults")
    public void aRequestThatMayRunOnceIsNeverSaidNotToHaveRunWithoutProof(
        String name, Script script, int expected) throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", script)) {
        RunningFront front = new RunningFront(PATIENT, server);
        String answer = front.ask("POST", "/once/1", PATIENT);
        assertEquals(status(answer), expected, name + ": " + answer);
        assertEquals(
            answer.contains("Retry-After:") || answer.contains("retry-after:"),
            expected == 503,
            answer);
        // A server that was replaced shows it at the health check before the first send.
        assertEquals(server.received().size(), name.equals("replaced") ? 0 : 1, name);
        assertFalse(answer.endsWith("old"), answer);
      }
    }

    /** With a second server, an idempotent request gets its answer in spite of every fault. */
    @Test(dataProvider = "faults")
    public void anIdempotentRequestIsServedByAnother(String name, Script script, int expected)
        throws IOException {
      AtomicBoolean first = new AtomicBoolean(true);
      Script once = r -> first.getAndSet(false) ? script.handle(r) : r.answer(200, "own");
      try (ScriptedServer a = new ScriptedServer("a", once);
          ScriptedServer b = new ScriptedServer("b", once)) {
        RunningFront front = new RunningFront(PATIENT, a, b);
        assertEquals(status(front.ask("GET", "/safe/1", PATIENT)), 200, name);
      }
    }
  }

  /** Time. */
  public static final class Deadlines {
    @Test
    public void theServerIsToldWhatIsLeftAndWhomTheRequestIsFor() throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.answer(200, "x"))) {
        RunningFront front = new RunningFront(700, server);
        assertEquals(status(front.ask("GET", "/safe/1", 900)), 200);
        ScriptedServer.Received request = server.received().getFirst();
        long told = Long.parseLong(request.header("Deadline-Millis"));
        assertTrue(told > 0 && told <= 700, "told " + told);
        assertEquals(request.header("Expected-Server"), "a");
        assertEquals(request.line(), "GET /safe/1 HTTP/1.1");
      }
    }

    /**
     * One of two servers takes requests and never answers, with its connection open. A read must
     * not wait for it until the timeout: it is sent to the other server and answered from there.
     */
    @Test
    public void aReadThatMeetsAHangingServerIsAnsweredByAnother() throws IOException {
      Script silent =
          r -> {
            r.awaitClose();
            return false;
          };
      try (ScriptedServer hangs = new ScriptedServer("a", silent);
          ScriptedServer good = new ScriptedServer("b", r -> r.answer(200, "x"))) {
        RunningFront front = new RunningFront(3_000, hangs, good);
        for (int i = 0; i < 6; i++) {
          assertEquals(status(front.ask("GET", "/safe/" + i, PATIENT)), 200);
        }
        assertTrue(hangs.received().size() <= 2, "the hanging server is avoided");
      }
    }

    /** The server never answers: the caller gets its final answer at the route's timeout. */
    @Test
    public void aSilentServerEndsInATimeoutOfUnknownOutcome() throws IOException {
      Script silent =
          r -> {
            r.awaitClose();
            return false;
          };
      try (ScriptedServer server = new ScriptedServer("a", silent)) {
        RunningFront front = new RunningFront(200, server);
        assertEquals(status(front.ask("POST", "/once/1", PATIENT)), 504);
      }
    }
  }

  /** Callers that leave, or send several requests at once. */
  public static final class Callers {
    /**
     * The caller closes its connection while a server works on its request. Nobody waits for the
     * answer any more, so the server must see its own connection closed.
     */
    @Test
    public void workOfACallerThatLeftIsCancelled() throws IOException, InterruptedException {
      CountDownLatch cancelled = new CountDownLatch(1);
      Script waits =
          r -> {
            r.awaitClose();
            cancelled.countDown();
            return false;
          };
      try (ScriptedServer server = new ScriptedServer("a", waits)) {
        RunningFront front = new RunningFront(60_000, server);
        Socket caller = front.connect();
        RunningFront.send(caller, "GET", "/safe/1", 60_000, "");
        server.awaitFirst();
        caller.close();
        cancelled.await();
      }
    }

    /**
     * Three requests come at once and the first is answered last. Each answer must come in the
     * order of the requests, or the caller would take one for another.
     */
    @Test
    public void answersKeepTheOrderOfPipelinedRequests() throws IOException {
      CountDownLatch others = new CountDownLatch(2);
      Script script =
          r -> {
            if (r.line().contains("/safe/first")) {
              others.await();
            } else {
              others.countDown();
            }
            return r.answer(200, "<" + r.line().split(" ", -1)[1] + ">");
          };
      try (ScriptedServer server = new ScriptedServer("a", script);
          Socket caller = new RunningFront(60_000, server).connect()) {
        for (String path : List.of("/safe/first", "/safe/second", "/safe/third")) {
          RunningFront.send(caller, "GET", path, 60_000, "");
        }
        String all = RunningFront.readUntil(caller, "</safe/third>");
        assertTrue(all.indexOf("first>") < all.indexOf("second>"), all);
        assertTrue(all.indexOf("second>") < all.indexOf("third>"), all);
      }
    }

    @DataProvider
    public Object[][] malformed() {
      return new Object[][] {
        {"GET /safe/ HTTP/1.1\r\n\r\n"},
        {"GET /safe/ HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"},
        {BOTH_LENGTHS + "\r\n0\r\n\r\n"},
        {"nonsense\r\n\r\n"},
      };
    }

    @Test(dataProvider = "malformed")
    public void whatIsNoProperRequestIsRefusedAndReachesNoServer(String bytes) throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.answer(200, "x"));
          Socket caller = new RunningFront(PATIENT, server).connect()) {
        caller.getOutputStream().write(bytes.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        String answer =
            new String(
                caller.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.US_ASCII);
        assertEquals(status(answer), 400, answer);
        assertEquals(server.received().size(), 0);
      }
    }

    @Test
    public void aPathWithoutARouteIsNotFound() throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.answer(200, "x"))) {
        assertEquals(status(new RunningFront(PATIENT, server).ask("GET", "/no/", 100)), 404);
      }
    }
  }

  /** Planned stops. */
  public static final class Stops {
    /** The stop is taken up by the event loop, which may read an answer first. */
    private static void awaitStopAnnounced(RunningFront front) throws IOException {
      String answer = "";
      while (!answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close")) {
        try (Socket caller = front.connect()) {
          RunningFront.send(caller, "GET", "/no/", PATIENT, "");
          answer = RunningFront.readUntil(caller, "no_route");
        }
      }
    }

    /**
     * The instance is told to stop while a server works on a request. The caller must get its
     * answer, and the instance must not end before.
     */
    @Test
    public void aRequestInFlightIsFinishedBeforeTheEnd() throws IOException, InterruptedException {
      CountDownLatch go = new CountDownLatch(1);
      AtomicBoolean stopped = new AtomicBoolean();
      CountDownLatch end = new CountDownLatch(1);
      Script script =
          r -> {
            go.await();
            return r.answer(200, "done");
          };
      try (ScriptedServer server = new ScriptedServer("a", script)) {
        RunningFront front = new RunningFront(60_000, server);
        try (Socket caller = front.connect()) {
          RunningFront.send(caller, "POST", "/once/1", 60_000, "");
          server.awaitFirst();
          front.stop(
              () -> {
                stopped.set(true);
                end.countDown();
              });
          assertFalse(stopped.get());
          awaitStopAnnounced(front);
          go.countDown();
          String answer = RunningFront.readUntil(caller, "done");
          assertEquals(status(answer), 200);
          assertTrue(answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close"));
        }
        end.await();
      }
    }
  }
}
