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
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.Test;

/** Requests under way while their server starts again under the id that it had. */
public final class RestartedServerTest {
  private static final Script WELL = request -> request.answer(200, "again");
  private static final Route ONCE = Requests.route(false);
  private static final Route READ = Requests.route(true);

  /** Discovery tells that the server has started again, at another port. */
  private static void restart(Environment environment, ScriptedServer next)
      throws InterruptedException {
    CountDownLatch applied = new CountDownLatch(1);
    ServerList list = new ServerList(2, Map.of("a", Servers.restarted(next.entry())));
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

  /** Answers its request when the test says so. */
  private static Script held(CountDownLatch released, Script then) {
    return request -> {
      released.await();
      return then.handle(request);
    };
  }

  /**
   * A booking is at a server that crashes and starts again under its id. The caller sees 502: the
   * old process may have run it. The new one has room and the same name, and would run it twice.
   */
  @Test
  public void whatMayRunOnceIsNotSentToTheNewIncarnation()
      throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    Script crash = held(released, ScriptedServer.Received::reset);
    try (ScriptedServer old = new ScriptedServer("a", crash);
        ScriptedServer next = new ScriptedServer("a", WELL)) {
      Environment environment = TestEnvironment.with(ONCE, old);
      CompletableFuture<CallerResponse> answer = Requests.ask(environment);
      old.awaitFirst();
      restart(environment, next);
      released.countDown();
      assertEquals(answer.join().status().code(), 502);
      assertEquals(next.received().size(), 0);
      environment.loop().stop();
    }
  }

  /**
   * A server's answer arrives after discovery has told of its next incarnation. The caller gets the
   * answer; the load, latency and failures of the old process say nothing of the new one, which
   * would otherwise be passed by while it stands idle.
   */
  @Test
  public void aLateAnswerSaysNothingOfTheNewIncarnation() throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    Script busy =
        request -> {
          request.write(
              "HTTP/1.1 200 X\r\nRequest-Id: 1\r\nLoad: 6,4,6,400\r\nContent-Length: 1\r\n\r\nx");
          return true;
        };
    try (ScriptedServer old = new ScriptedServer("a", held(released, busy));
        ScriptedServer next = new ScriptedServer("a", WELL)) {
      Environment environment = TestEnvironment.with(READ, old);
      ServerState before = state(environment);
      CompletableFuture<CallerResponse> answer = Requests.ask(environment);
      old.awaitFirst();
      restart(environment, next);
      released.countDown();
      assertEquals(answer.join().status().code(), 200);
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
   * A server has answered and keeps its connection; then it starts again at another port. The next
   * request must reach the new process: on the kept connection it would meet a reset, or whoever
   * has the old address now.
   */
  @Test
  public void theNextRequestReachesTheNewIncarnation() throws IOException, InterruptedException {
    try (ScriptedServer old = new ScriptedServer("a", WELL);
        ScriptedServer next = new ScriptedServer("a", WELL)) {
      Environment environment = TestEnvironment.with(ONCE, old);
      assertEquals(Requests.ask(environment).join().status().code(), 200);
      restart(environment, next);
      assertEquals(Requests.ask(environment).join().status().code(), 200);
      assertEquals(old.received().size(), 1);
      assertEquals(next.received().size(), 1);
      environment.loop().stop();
    }
  }
}
