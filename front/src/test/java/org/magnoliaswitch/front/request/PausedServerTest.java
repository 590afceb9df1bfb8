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
    return request.line().contains("/health")
        ? request.answerWith(200, "Load: 0,0,6,100")
        : request.answerWith(503, "Not-Run: 1", "Retry-After: 60", "Load: 0,0,6,100");
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
