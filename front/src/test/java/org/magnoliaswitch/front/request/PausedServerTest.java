package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
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

/** Servers that reject a request and ask for a pause. */
public final class PausedServerTest {
  private static final int REQUESTS = 20;

  /** Requests that a server may get from an instance during its pause. */
  private static final int MAX_DURING_PAUSE = 2;

  private static final Route NON_IDEMPOTENT_ROUTE = Requests.route(false);

  private static boolean rejecting(ScriptedServer.Received request) throws IOException {
    return request.line().contains("/health")
        ? request.respondWith(200, "Load: 0,0,6,100")
        : request.respondWith(503, "Not-Run: 1", "Retry-After: 60", "Load: 0,0,6,100");
  }

  private static void assertPauseRespected(ScriptedServer server) {
    int requests = server.received().size();
    assertTrue(
        requests <= 1 + MAX_DURING_PAUSE, requests + " requests reached " + server.entry().id());
  }

  /** Guards against requests that still reach servers that asked for a pause. */
  @Test
  public void receiveNoRequestsDuringThePause() throws IOException {
    try (ScriptedServer first = new ScriptedServer("a", PausedServerTest::rejecting);
        ScriptedServer second = new ScriptedServer("b", PausedServerTest::rejecting)) {
      Environment environment = TestEnvironment.with(NON_IDEMPOTENT_ROUTE, first, second);
      for (int i = 0; i < REQUESTS; i++) {
        assertEquals(Requests.send(environment).join().status().code(), 503);
      }
      assertPauseRespected(first);
      assertPauseRespected(second);
      environment.loop().stop();
    }
  }

  /** Guards against requests that wait in vain while all servers have asked for a long pause. */
  @Test
  public void requestsDoNotWaitForALongPause() throws IOException {
    try (ScriptedServer rejecting = new ScriptedServer("a", PausedServerTest::rejecting)) {
      Environment environment = TestEnvironment.with(NON_IDEMPOTENT_ROUTE, rejecting);
      for (int i = 0; i < REQUESTS; i++) {
        CallerResponse response = Requests.send(environment).join();
        assertEquals(response.status().code(), 503);
        assertTrue(response.headers().contains("Retry-After"));
      }
      assertPauseRespected(rejecting);
      environment.loop().stop();
    }
  }

  /**
   * Guards against a health check whose connection is being opened when the server asks for a
   * pause.
   */
  @Test
  public void receiveNoPendingHealthCheck() throws IOException {
    AtomicInteger healthChecks = new AtomicInteger();
    ScriptedServer.Script counting =
        request -> {
          healthChecks.incrementAndGet();
          return request.respondWith(200, "Load: 0,0,6,100");
        };
    try (ScriptedServer server = new ScriptedServer("a", counting)) {
      Environment environment = TestEnvironment.with(NON_IDEMPOTENT_ROUTE, server);
      ServicePolicy policy = new ServicePolicy("s", "/health", 9, Warmup.UNLIMITED);
      environment
          .routes()
          .set(
              new RouteTable(
                  2, List.of(NON_IDEMPOTENT_ROUTE), List.of(policy), CallerLimits.DEFAULT));
      CompletableFuture<CallerResponse> response =
          CompletableFuture.supplyAsync(
                  () -> sendAndPause(environment), environment.loop()::execute)
              .thenCompose(Function.identity());
      assertEquals(response.join().status().code(), 503);
      assertEquals(healthChecks.get(), 0);
      environment.loop().stop();
    }
  }

  /** Queues both in one task, so that the connection is not yet open when the pause begins. */
  private static CompletableFuture<CallerResponse> sendAndPause(Environment environment) {
    CompletableFuture<CallerResponse> response = Requests.send(environment);
    environment.loop().execute(() -> pause(environment));
    return response;
  }

  private static void pause(Environment environment) {
    ServerState state = environment.servers().of("s").getFirst().state();
    ServerNotice notice =
        new ServerNotice(false, OptionalDouble.empty(), TimeUnit.MINUTES.toNanos(2));
    state.backpressure().recordNotice(notice, environment.clocks().nanos());
  }
}
