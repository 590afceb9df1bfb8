package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.testing.Requests;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.ScriptedServer.Script;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.Test;

/** Requests in flight while their server restarts under the same id. */
public final class RestartedServerTest {
  private static final Script SUCCEED = request -> request.respond(200, "ok");
  private static final Route NON_IDEMPOTENT_ROUTE = Requests.route(false);
  private static final Route IDEMPOTENT_ROUTE = Requests.route(true);

  /** Applies a list in which the server has restarted at another port. */
  private static void restart(Environment environment, ScriptedServer restarted)
      throws InterruptedException {
    CountDownLatch applied = new CountDownLatch(1);
    ServerList list =
        new ServerList(Revision.of(0, 2), Map.of("a", Servers.restarted(restarted.entry())));
    environment
        .loop()
        .execute(
            () -> {
              environment.servers().apply(list);
              applied.countDown();
            });
    applied.await();
  }

  private static ServerState state(Environment environment) {
    return environment.servers().of("s").getFirst().state();
  }

  /** Answers a request once the test releases it. */
  private static Script holding(CountDownLatch released, Script script) {
    return request -> {
      released.await();
      return script.handle(request);
    };
  }

  /**
   * A server crashes while it serves a non-idempotent request, and restarts under the same id. The
   * caller must receive 502, since the old process may have executed the request. The new process
   * has capacity and the same id, and would execute it a second time.
   */
  @Test
  public void nonIdempotentRequestsAreNotRepeatedAtTheNewIncarnation()
      throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    Script crash = holding(released, ScriptedServer.Received::reset);
    try (ScriptedServer old = new ScriptedServer("a", crash);
        ScriptedServer restarted = new ScriptedServer("a", SUCCEED)) {
      Environment environment = TestEnvironment.with(NON_IDEMPOTENT_ROUTE, old);
      CompletableFuture<CallerResponse> response = Requests.send(environment);
      old.awaitFirst();
      restart(environment, restarted);
      released.countDown();
      assertEquals(response.join().status().code(), 502);
      assertEquals(restarted.received().size(), 0);
      environment.loop().stop();
    }
  }

  /**
   * The response of a server arrives after discovery has reported its next incarnation. The caller
   * must get the response. The load, latency and failures of the old process must not affect the
   * new one, which would otherwise be avoided while it is idle.
   */
  @Test
  public void aLateResponseDoesNotAffectTheNewIncarnation()
      throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    Script busy =
        request -> {
          request.write(
              "HTTP/1.1 200 X\r\nRequest-Id: 1\r\nLoad: 6,4,6,400\r\nContent-Length: 1\r\n\r\nx");
          return true;
        };
    try (ScriptedServer old = new ScriptedServer("a", holding(released, busy));
        ScriptedServer restarted = new ScriptedServer("a", SUCCEED)) {
      Environment environment = TestEnvironment.with(IDEMPOTENT_ROUTE, old);
      ServerState before = state(environment);
      CompletableFuture<CallerResponse> response = Requests.send(environment);
      old.awaitFirst();
      restart(environment, restarted);
      released.countDown();
      assertEquals(response.join().status().code(), 200);
      ServerState after = state(environment);
      assertNotSame(after, before);
      assertTrue(before.hasSample());
      assertFalse(after.hasSample());
      assertEquals(after.inFlight(), 0);
      assertFalse(before.acceptsWork());
      environment.loop().stop();
    }
  }

  /**
   * A server has answered and keeps its connection; then it restarts at another port. The next
   * request must reach the new process: on the idle connection it would meet a reset, or another
   * process that now has the old address.
   */
  @Test
  public void theNextRequestReachesTheNewIncarnation() throws IOException, InterruptedException {
    try (ScriptedServer old = new ScriptedServer("a", SUCCEED);
        ScriptedServer restarted = new ScriptedServer("a", SUCCEED)) {
      Environment environment = TestEnvironment.with(NON_IDEMPOTENT_ROUTE, old);
      assertEquals(Requests.send(environment).join().status().code(), 200);
      restart(environment, restarted);
      assertEquals(Requests.send(environment).join().status().code(), 200);
      assertEquals(old.received().size(), 1);
      assertEquals(restarted.received().size(), 1);
      environment.loop().stop();
    }
  }
}
