package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.front.testing.RunningFront;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.ScriptedServer.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests to a server that responds to earlier ones a second time. */
public final class LateResponseTest {
  private static final long LONG_TIMEOUT_MILLIS = 5_000;

  private static int status(String response) {
    return Integer.parseInt(response.split(" ", 3)[1]);
  }

  /** Each row: method and path. */
  @DataProvider
  public Object[][] requests() {
    return new Object[][] {{"GET", "/safe/1"}, {"POST", "/once/1"}};
  }

  /**
   * Guards against a success in place of a failure: the second response to the first send, which
   * arrives late, is taken for the response to the second send of the same id.
   */
  @Test(dataProvider = "requests")
  public void lateResponseToAnEarlierSendIsNotBelieved(String method, String path)
      throws IOException {
    AtomicReference<ScriptedServer.Received> first = new AtomicReference<>();
    Script script =
        r -> {
          if (r.healthCheck()) {
            return r.respond(200, "");
          }
          if (!first.compareAndSet(null, r) && r.sharesConnectionWith(first.get())) {
            r.respond(200, "late");
          }
          return r.respond(500, "own");
        };
    try (ScriptedServer server = new ScriptedServer("a", script)) {
      RunningFront front = new RunningFront(LONG_TIMEOUT_MILLIS, server);
      for (int i = 0; i < 3; i++) {
        assertEquals(status(front.request(method, path, LONG_TIMEOUT_MILLIS)), 500);
      }
      assertEquals(server.received().size(), 3);
    }
  }

  /** Each row: a second response without an id. */
  @DataProvider
  public Object[][] secondResponsesWithoutId() {
    return new Object[][] {
      {"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
      {"HTTP/1.1 421 X\r\nServer-Id: other\r\nContent-Length: 0\r\n\r\n"},
      {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"},
      {"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nold"},
    };
  }

  /**
   * Guards against an executed request that its caller is told was not: the server answers the
   * exchange before it on the connection, mostly a health check, a second time and without an id.
   */
  @Test(dataProvider = "secondResponsesWithoutId", timeOut = 20_000)
  public void secondResponseWithoutAnIdIsNotThatOfTheRequest(String second) throws IOException {
    List<ScriptedServer.Received> earlier = new CopyOnWriteArrayList<>();
    AtomicBoolean answeredTwice = new AtomicBoolean();
    Script script =
        r -> {
          boolean follows = earlier.stream().anyMatch(r::sharesConnectionWith);
          earlier.add(r);
          if (follows && !r.healthCheck()) {
            answeredTwice.set(true);
            r.write(second);
          }
          return r.respond(200, "own");
        };
    try (ScriptedServer server = new ScriptedServer("a", script)) {
      RunningFront front = new RunningFront(LONG_TIMEOUT_MILLIS, server);
      for (int i = 0; !answeredTwice.get(); i++) {
        int status = status(front.request("POST", "/once/" + i, LONG_TIMEOUT_MILLIS));
        assertEquals(status, answeredTwice.get() ? 502 : 200);
        assertEquals(server.received().size(), i + 1);
      }
    }
  }

  /** Guards against a late response to the request before, or a failure for its sake. */
  @Test
  public void lateResponseToTheRequestBeforeIsSkipped() throws IOException {
    AtomicReference<ScriptedServer.Received> first = new AtomicReference<>();
    Script script =
        r -> {
          if (!r.healthCheck() && !first.compareAndSet(null, r)) {
            first.get().respond(200, "late");
          }
          return r.respond(200, "own");
        };
    try (ScriptedServer server = new ScriptedServer("a", script)) {
      RunningFront front = new RunningFront(LONG_TIMEOUT_MILLIS, server);
      front.request("GET", "/safe/1", LONG_TIMEOUT_MILLIS);
      String second = front.request("GET", "/safe/2", LONG_TIMEOUT_MILLIS);
      assertEquals(status(second), 200);
      assertTrue(second.endsWith("own"), second);
      assertTrue(server.received().getLast().sharesConnectionWith(first.get()));
    }
  }

  /** Guards against a new connection for each request: different ids share one. */
  @Test
  public void requestsWithOtherIdsReuseTheConnection() throws IOException {
    try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "own"))) {
      RunningFront front = new RunningFront(LONG_TIMEOUT_MILLIS, server);
      front.request("GET", "/safe/1", LONG_TIMEOUT_MILLIS);
      front.request("GET", "/safe/2", LONG_TIMEOUT_MILLIS);
      List<ScriptedServer.Received> sends = server.received();
      assertTrue(sends.getLast().sharesConnectionWith(sends.getFirst()));
    }
  }
}
