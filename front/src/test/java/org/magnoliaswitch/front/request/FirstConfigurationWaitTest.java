package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.WeightedService;
import org.testng.annotations.Test;

/** Requests that reach an instance right after its start. */
public final class FirstConfigurationWaitTest {
  private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);
  private static final Route ROUTE =
      new Route("r", "h", "/", false, MINUTE, MINUTE, 0, 2, List.of(new WeightedService("s", 1)));

  private static CallerRequest request(Environment environment) {
    return new CallerRequest(
        HttpMethod.POST,
        "/x",
        new DefaultHttpHeaders().set("Request-Id", "1").set("Host", "h"),
        new byte[0],
        environment.clocks().nanos(),
        false,
        "127.0.0.1");
  }

  private static BlockingQueue<CallerResponse> dispatch(Environment environment) {
    BlockingQueue<CallerResponse> responses = new ArrayBlockingQueue<>(1);
    FrontDispatcher dispatcher = new FrontDispatcher(environment);
    environment.loop().execute(() -> dispatcher.start(request(environment), responses::add));
    return responses;
  }

  /**
   * After a loss of all instances their callers retry together, and an instance listens a moment
   * before it has its configuration. The caller has one more retry, which must not be spent on a
   * refusal: the request waits and is answered.
   */
  @Test
  public void requestsWaitForTheFirstConfiguration() throws IOException, InterruptedException {
    try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"))) {
      Environment environment = TestEnvironment.withoutConfiguration();
      BlockingQueue<CallerResponse> responses = dispatch(environment);
      environment.loop().execute(() -> TestEnvironment.configure(environment, ROUTE, server));
      assertEquals(responses.take().status().code(), 200);
      environment.loop().stop();
    }
  }

  /** Without any configuration, the caller must soon be told that its request was not executed. */
  @Test
  public void requestsAreRefusedWithoutAConfiguration() throws InterruptedException {
    Environment environment = TestEnvironment.withoutConfiguration();
    CallerResponse response = dispatch(environment).take();
    assertEquals(response.status().code(), 503);
    assertFalse(response.headers().get("Retry-After").isEmpty());
    environment.loop().stop();
  }

  /**
   * Before the first configuration it is not known which requests are idempotent. If a
   * non-idempotent request were processed concurrently with others of its connection, a response
   * that closes the connection would make its caller send it again.
   */
  @Test
  public void noRequestIsIdempotentBeforeTheFirstConfiguration() {
    Environment environment = TestEnvironment.withoutConfiguration();
    assertFalse(new FrontDispatcher(environment).idempotent(request(environment)));
    environment.loop().stop();
  }
}
