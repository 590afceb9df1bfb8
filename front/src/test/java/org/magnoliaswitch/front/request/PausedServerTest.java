package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.magnoliaswitch.front.connection.CallerAnswer;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.testing.Requests;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.Route;
import org.testng.annotations.Test;

/** Servers that turn a request away and ask for a pause. */
public final class PausedServerTest {
  private static final int REQUESTS = 20;

  /** Requests that a server may get from an instance during its pause. */
  private static final int MOST_DURING_PAUSE = 2;

  private static final Route ONCE = Requests.route(false);

  private static boolean shedding(ScriptedServer.Received request) throws IOException {
    boolean check = request.line().contains("/health");
    String shed = "Not-Run: 1\r\nRetry-After: 60\r\n";
    return answer(request, check ? 200 : 503, (check ? "" : shed) + "Load: 0,0,6,100\r\n");
  }

  private static boolean answer(ScriptedServer.Received request, int status, String headers)
      throws IOException {
    request.write(
        "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
            .formatted(status, request.header("Request-Id"), headers));
    return true;
  }

  private static void assertLeftAlone(ScriptedServer server) {
    int reached = server.received().size();
    assertTrue(reached <= 1 + MOST_DURING_PAUSE, reached + " reached " + server.entry().id());
  }

  /** Guards against requests that go on reaching servers which asked to be left alone. */
  @Test
  public void getNoMoreBeforeThePauseHasEnded() throws IOException {
    try (ScriptedServer first = new ScriptedServer("a", PausedServerTest::shedding);
        ScriptedServer second = new ScriptedServer("b", PausedServerTest::shedding)) {
      Environment environment = TestEnvironment.with(ONCE, first, second);
      for (int i = 0; i < REQUESTS; i++) {
        assertEquals(Requests.ask(environment).join().status().code(), 503);
      }
      assertLeftAlone(first);
      assertLeftAlone(second);
      environment.loop().stop();
    }
  }

  /** Guards against callers that wait in vain while all servers have asked for a long pause. */
  @Test
  public void areNotWaitedForWhenThePauseIsLong() throws IOException {
    try (ScriptedServer shedding = new ScriptedServer("a", PausedServerTest::shedding)) {
      Environment environment = TestEnvironment.with(ONCE, shedding);
      for (int i = 0; i < REQUESTS; i++) {
        CallerAnswer answer = Requests.ask(environment).join();
        assertEquals(answer.status().code(), 503);
        assertTrue(answer.headers().contains("Retry-After"));
      }
      assertLeftAlone(shedding);
      environment.loop().stop();
    }
  }
}
