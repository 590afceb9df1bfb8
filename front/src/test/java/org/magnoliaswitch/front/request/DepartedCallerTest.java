package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.RequestHandler;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.process.TeamBounds;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.testing.Requests;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.ScriptedServer.Script;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.Route;
import org.testng.annotations.Test;

/** Requests that may run once and whose caller has left. */
public final class DepartedCallerTest {
  private static final Route ROUTE = Requests.route(false);

  private final ManualClock clock = new ManualClock();

  private Environment environment(ScriptedServer server) {
    clock.advance(TimeUnit.HOURS.toNanos(1));
    Environment environment =
        TestEnvironment.withoutConfiguration(clock.clocks(), TeamBounds.DEFAULT);
    TestEnvironment.configure(environment, ROUTE, server);
    return environment;
  }

  private static RequestHandler.Call start(Environment environment) {
    CallerRequest request =
        new CallerRequest(
            HttpMethod.POST,
            "/x",
            new DefaultHttpHeaders().set("Host", "h").set("Request-Id", "1"),
            new byte[0],
            environment.clocks().nanos(),
            false,
            "127.0.0.1");
    return onLoop(
        environment, () -> new FrontDispatcher(environment).start(request, response -> {}));
  }

  private static <T> T onLoop(Environment environment, Supplier<T> task) {
    return CompletableFuture.supplyAsync(task, environment.loop()::execute).join();
  }

  private static int inFlight(Environment environment) {
    return environment.servers().of("s").getFirst().state().inFlight();
  }

  /**
   * Guards against a hung server that keeps the connection, and its count of requests in flight,
   * for ever: the request may go on for as long as it could if its caller had stayed, no longer.
   */
  @Test(timeOut = 60_000)
  public void requestAtAHungServerEndsWithItsTimeout() throws IOException, InterruptedException {
    CountDownLatch closed = new CountDownLatch(1);
    Script hung =
        request -> {
          request.awaitClose();
          closed.countDown();
          return false;
        };
    try (ScriptedServer server = new ScriptedServer("a", hung)) {
      Environment environment = environment(server);
      RequestHandler.Call call = start(environment);
      server.awaitFirst();
      clock.advance(ROUTE.timeoutNanos());
      int inFlight =
          onLoop(
              environment,
              () -> {
                call.callerDisconnected();
                return inFlight(environment);
              });
      // A partial execution may do harm, so the server keeps its request at first.
      assertEquals(inFlight, 1);
      closed.await();
      assertEquals(onLoop(environment, () -> inFlight(environment)), 0);
      environment.loop().stop();
    }
  }
}
