package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.magnoliaswitch.front.testing.RunningFront;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.ScriptedServer.Script;
import org.magnoliaswitch.front.version.ApiKey;
import org.magnoliaswitch.front.version.Quota;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests over real connections to the caller and to the servers. */
public final class ExchangeTest {
  private static final long LONG_TIMEOUT_MILLIS = 5_000;
  private static final String BOTH_LENGTHS =
      "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n";

  private static int status(String response) {
    return Integer.parseInt(response.split(" ", 3)[1]);
  }

  /** Faults of a server, and their effect on a request. */
  public static final class Faults {
    /** Each row: name, script, expected status of a non-idempotent request. */
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
      Script unconfirmed = r -> r.respond(503, "busy");
      Script notExecuted = r -> r.respondWith(503, "Not-Run: 1");
      Script notExecutedWithoutId =
          r -> {
            r.write("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n");
            r.write("Connection: close\r\n\r\n");
            return false;
          };
      Script replaced =
          r -> {
            r.write("HTTP/1.1 421 X\r\nServer-Id: other\r\nContent-Length: 0\r\n\r\n");
            return true;
          };
      Script unknownResponseFirst =
          r -> {
            r.write("HTTP/1.1 200 X\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\nold");
            return r.respond(200, "own");
          };
      Script failureWithoutIdFirst =
          r -> {
            if (r.healthCheck()) {
              return r.respond(200, "");
            }
            r.write("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
            return r.respond(200, "own");
          };
      Script withoutId =
          r -> {
            r.write("HTTP/1.1 200 X\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc");
            return false;
          };
      Script failed = r -> r.respond(500, "error");
      return new Object[][] {
        {"truncated", truncated, 502},
        {"garbage", garbage, 502},
        {"closed", closed, 502},
        {"reset", reset, 502},
        {"unframed, reset", unframedReset, 502},
        {"unframed", unframed, 200},
        {"refusal without a Not-Run header", unconfirmed, 502},
        {"not executed", notExecuted, 503},
        {"not executed, no id, new connection", notExecutedWithoutId, 503},
        {"replaced", replaced, 503},
        {"response to an unknown request first", unknownResponseFirst, 502},
        {"failure without an id first", failureWithoutIdFirst, 502},
        {"no id", withoutId, 502},
        {"failed", failed, 500},
      };
    }

    /**
     * A non-idempotent request with a single server. Only the statement of the server itself
     * permits the response that the request was not executed (503); after any other fault it may
     * have been executed.
     */
    @Test(dataProvider = "faults")
    public void nonIdempotentRequestsAreReportedAsNotExecutedOnlyWithProof(
        String name, Script script, int expected) throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", script)) {
        RunningFront front = new RunningFront(LONG_TIMEOUT_MILLIS, server);
        String response = front.request("POST", "/once/1", LONG_TIMEOUT_MILLIS);
        assertEquals(status(response), expected, name + ": " + response);
        assertEquals(
            response.contains("Retry-After:") || response.contains("retry-after:"),
            expected == 503,
            response);
        int received = server.received().size();
        // The health check before the first attempt may show that a server was replaced.
        assertTrue(received == 1 || (name.equals("replaced") && received == 0), name);
        assertFalse(response.endsWith("old"), response);
      }
    }

    /**
     * Guards against requests to a server that was replaced: its health checks show it before a
     * request is rejected.
     */
    @Test(timeOut = 20_000)
    public void replacedServerReceivesNothingAfterItsHealthCheck() throws IOException {
      Script replaced =
          r -> r.healthCheck() ? r.respondWith(421, "Server-Id: other") : r.respond(200, "own");
      try (ScriptedServer server = new ScriptedServer("a", replaced)) {
        RunningFront front = new RunningFront(LONG_TIMEOUT_MILLIS, server);
        int sent = 0;
        // A health check that takes longer than its round is heard after the request was sent.
        while (status(front.request("POST", "/once/" + sent, LONG_TIMEOUT_MILLIS)) == 200) {
          sent++;
        }
        assertEquals(status(front.request("POST", "/once/last", LONG_TIMEOUT_MILLIS)), 503);
        assertEquals(server.received().size(), sent);
      }
    }

    /** With a second server, an idempotent request gets its response despite every fault. */
    @Test(dataProvider = "faults")
    public void idempotentRequestsAreServedByAnotherServer(String name, Script script, int expected)
        throws IOException {
      AtomicBoolean first = new AtomicBoolean(true);
      Script once = r -> first.getAndSet(false) ? script.handle(r) : r.respond(200, "own");
      try (ScriptedServer a = new ScriptedServer("a", once);
          ScriptedServer b = new ScriptedServer("b", once)) {
        RunningFront front = new RunningFront(LONG_TIMEOUT_MILLIS, a, b);
        assertEquals(status(front.request("GET", "/safe/1", LONG_TIMEOUT_MILLIS)), 200, name);
      }
    }
  }

  /** Deadlines of requests. */
  public static final class Deadlines {
    @Test
    public void serversReceiveTheRemainingTimeAndTheirId() throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"))) {
        RunningFront front = new RunningFront(700, server);
        assertEquals(status(front.request("GET", "/safe/1", 900)), 200);
        ScriptedServer.Received request = server.received().getFirst();
        long remainingMillis = Long.parseLong(request.header("Deadline-Millis"));
        assertTrue(
            remainingMillis > 0 && remainingMillis <= 700,
            "remaining time in ms: " + remainingMillis);
        assertEquals(request.header("Expected-Server"), "a");
        assertEquals(request.line(), "GET /safe/1 HTTP/1.1");
      }
    }

    /**
     * One of two servers accepts requests and never answers, with its connection open. An
     * idempotent request must not wait for it until the timeout: it is sent to the other server,
     * which answers.
     */
    @Test
    public void idempotentRequestsAtAHungServerAreAnsweredByAnother() throws IOException {
      Script unresponsive =
          r -> {
            r.awaitClose();
            return false;
          };
      try (ScriptedServer hung = new ScriptedServer("a", unresponsive);
          ScriptedServer healthy = new ScriptedServer("b", r -> r.respond(200, "x"))) {
        RunningFront front = new RunningFront(3_000, hung, healthy);
        for (int i = 0; i < 6; i++) {
          assertEquals(status(front.request("GET", "/safe/" + i, LONG_TIMEOUT_MILLIS)), 200);
        }
        assertTrue(hung.received().size() <= 2, "the hung server received more than two requests");
      }
    }

    /**
     * The server never answers: the caller must get its final response at the timeout of the route.
     */
    @Test
    public void anUnresponsiveServerLeadsToAGatewayTimeout() throws IOException {
      Script unresponsive =
          r -> {
            r.awaitClose();
            return false;
          };
      try (ScriptedServer server = new ScriptedServer("a", unresponsive)) {
        RunningFront front = new RunningFront(200, server);
        assertEquals(status(front.request("POST", "/once/1", LONG_TIMEOUT_MILLIS)), 504);
      }
    }
  }

  /** Callers that close their connection, or send several requests at once. */
  public static final class Callers {
    /**
     * The caller closes its connection while a server works on its request. Nobody waits for the
     * response any more, so the connection to the server must be closed.
     */
    @Test
    public void requestsOfACallerThatLeftAreCancelled() throws IOException, InterruptedException {
      CountDownLatch cancelled = new CountDownLatch(1);
      Script untilClosed =
          r -> {
            r.awaitClose();
            cancelled.countDown();
            return false;
          };
      try (ScriptedServer server = new ScriptedServer("a", untilClosed)) {
        RunningFront front = new RunningFront(60_000, server);
        Socket caller = front.connect();
        RunningFront.send(caller, "GET", "/safe/1", 60_000, "");
        server.awaitFirst();
        caller.close();
        cancelled.await();
      }
    }

    /**
     * Three requests arrive at once and the first is answered last. The responses must come in the
     * order of the requests, or the caller would match them to the wrong ones.
     */
    @Test
    public void responsesKeepTheOrderOfPipelinedRequests() throws IOException {
      CountDownLatch others = new CountDownLatch(2);
      Script script =
          r -> {
            if (r.line().contains("/safe/first")) {
              others.await();
            } else {
              others.countDown();
            }
            return r.respond(200, "<" + r.line().split(" ", -1)[1] + ">");
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
    public void malformedRequestsAreRefusedAndReachNoServer(String bytes) throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Socket caller = new RunningFront(LONG_TIMEOUT_MILLIS, server).connect()) {
        caller.getOutputStream().write(bytes.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        String response =
            new String(
                caller.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.US_ASCII);
        assertEquals(status(response), 400, response);
        assertEquals(server.received().size(), 0);
      }
    }

    /**
     * Guards against a request that reaches its server without its id or host, because its caller
     * lists them as headers of the connection.
     */
    @Test
    public void idAndHostAreForwardedAlthoughTheConnectionHeaderListsThem() throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Socket caller = new RunningFront(LONG_TIMEOUT_MILLIS, server).connect()) {
        String headers = "Connection: close, host, Request-ID, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n";
        RunningFront.send(caller, "GET", "/safe/1", LONG_TIMEOUT_MILLIS, headers);
        String response =
            new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        ScriptedServer.Received request = server.received().getFirst();
        assertEquals(request.header("Host"), "h");
        assertEquals(request.header("Request-Id"), "id-/safe/1");
        assertEquals(request.header("X-Hop"), "");
        assertEquals(request.header("X-End"), "2");
        assertEquals(status(response), 200, response);
      }
    }

    @Test
    public void aPathWithoutARouteIsNotFound() throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"))) {
        assertEquals(
            status(new RunningFront(LONG_TIMEOUT_MILLIS, server).request("GET", "/no/", 100)), 404);
      }
    }
  }

  /** Requests of teams, over real connections and the instance's own part as a seed. */
  public static final class Teams {
    private static final TeamTable TEAMS =
        new TeamTable(
            List.of(
                new Team("free", Set.of(new ApiKey("f")), Quota.UNLIMITED, 0),
                new Team("busy", Set.of(new ApiKey("b")), new Quota(1_000, 1_000), 0),
                new Team("spent", Set.of(new ApiKey("s")), new Quota(1e-6, 1), 0)));

    private static String request(RunningFront front, String key) throws IOException {
      try (Socket socket = front.connect()) {
        String headers = "Authorization: Token " + key + "\r\nConnection: close\r\n";
        RunningFront.send(socket, "GET", "/safe/1", LONG_TIMEOUT_MILLIS, headers);
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      }
    }

    /** Guards against an answer other than 401 because the header is long. */
    @Test
    public void longUnknownKeyIsRejected() throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"))) {
        RunningFront front = RunningFront.withTeams(TEAMS, LONG_TIMEOUT_MILLIS, server);
        assertEquals(status(request(front, "k".repeat(8 << 10))), 401);
        assertEquals(status(request(front, "f")), 200);
        assertEquals(server.received().size(), 1);
      }
    }

    /**
     * Guards against an instance that stays without allowances after its start, and against one
     * that starts with a burst of its own: at first the quota is not known, and then the bucket is
     * empty.
     */
    @Test
    public void limitedTeamsAreAdmittedWithinTheirQuotaOnly() throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"))) {
        RunningFront front = RunningFront.withTeams(TEAMS, LONG_TIMEOUT_MILLIS, server);
        String spent = request(front, "s");
        while (status(spent) == 503) {
          spent = request(front, "s");
        }
        assertEquals(status(spent), 429, spent);
        assertTrue(spent.toLowerCase(Locale.ROOT).contains("retry-after: "), spent);
        assertEquals(server.received().size(), 0);
        while (status(request(front, "b")) != 200) {
          assertEquals(server.received().size(), 0);
        }
        assertEquals(server.received().getFirst().header("Team"), "busy");
      }
    }
  }
}
