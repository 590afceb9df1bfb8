package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.testing.Requests;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
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

  /** Guards against requests that go on reaching servers that asked for a pause. */
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
        CallerResponse answer = Requests.ask(environment).join();
        assertEquals(answer.status().code(), 503);
        assertTrue(answer.headers().contains("Retry-After"));
      }
      assertLeftAlone(shedding);
      environment.loop().stop();
    }
  }

  /**
   * Guards against a health check whose connection was being opened when the pause was asked for.
   */
  @Test
  public void getNoHealthCheckThatWasUnderWay() throws IOException {
    AtomicInteger checks = new AtomicInteger();
    ScriptedServer.Script counting =
        request -> {
          checks.incrementAndGet();
          return request.answerWith(200, "Load: 0,0,6,100");
        };
    try (ScriptedServer server = new ScriptedServer("a", counting)) {
      Environment environment = TestEnvironment.with(ONCE, server);
      ServicePolicy askable = new ServicePolicy("s", "/health", 9, Warmup.UNLIMITED);
      environment
          .routes()
          .set(new RouteTable(2, List.of(ONCE), List.of(askable), CallerLimits.DEFAULT));
      CompletableFuture<CallerResponse> answer = Requests.ask(environment);
      environment.loop().execute(() -> pause(environment));
      assertEquals(answer.join().status().code(), 503);
      assertEquals(checks.get(), 0);
      environment.loop().stop();
    }
  }

  private static void pause(Environment environment) {
    ServerState state = environment.servers().of("s").getFirst().state();
    ServerNotice notice =
        new ServerNotice(false, OptionalDouble.empty(), TimeUnit.MINUTES.toNanos(2));
    state.backpressure().recordNotice(notice, environment.clocks().nanos());
  }
}
