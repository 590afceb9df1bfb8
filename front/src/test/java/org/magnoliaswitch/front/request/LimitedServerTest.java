package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.testing.Bursts;
import org.magnoliaswitch.front.testing.Requests;
import org.magnoliaswitch.front.testing.RunningFront;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
import org.testng.annotations.Test;

/**
 * An overloaded server states the requests per second that it accepts from all instances together.
 */
public final class LimitedServerTest {
  private static final double LIMIT_PER_SECOND = 1;
  private static final long SPAN_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Requests that the server accepts within four seconds: half more than its limit, and five. */
  private static final long MAX_IN_SPAN = (long) (1.5 * 4 * LIMIT_PER_SECOND) + 5;

  private static final int INSTANCES = 3;
  private static final int REQUESTS = 300;

  private final Clocks clocks = Clocks.system();
  private final List<Long> arrivals = new CopyOnWriteArrayList<>();

  private boolean limited(ScriptedServer.Received request) throws IOException {
    if (!request.line().contains("/health")) {
      arrivals.add(clocks.nanos());
    }
    return request.respondWith(200, "Request-Limit: " + LIMIT_PER_SECOND, "Load: 0,0,6,100");
  }

  private static boolean halfLoaded(ScriptedServer.Received request) throws IOException {
    return request.respondWith(200, "Load: 3,0,6,100");
  }

  /**
   * Guards against an overloaded server that gets the load of all instances because it reports no
   * load.
   */
  @Test
  public void allInstancesTogetherRespectTheLimit() throws IOException {
    try (ScriptedServer limited = new ScriptedServer("a", this::limited);
        ScriptedServer other = new ScriptedServer("b", LimitedServerTest::halfLoaded)) {
      List<RunningFront> fronts = RunningFront.group(INSTANCES, 10_000, limited, other);
      for (int i = 0; i < REQUESTS; i++) {
        String response = fronts.get(i % INSTANCES).request("GET", "/safe/" + i, 10_000);
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
      }
      long most = Bursts.maxInWindow(arrivals, SPAN_NANOS);
      assertTrue(most <= MAX_IN_SPAN, most + " requests within a span");
      fronts.forEach(front -> front.stop(() -> {}));
    }
  }

  /**
   * Guards against a limit that ends because the server rejected a request without stating the
   * limit.
   */
  @Test
  public void limitRemainsAfterARejection() throws IOException {
    AtomicInteger requests = new AtomicInteger();
    ScriptedServer.Script script =
        request -> {
          boolean first = requests.getAndIncrement() == 0;
          return first ? limited(request) : request.respondWith(503, "Not-Run: 1");
        };
    try (ScriptedServer server = new ScriptedServer("a", script)) {
      Environment environment = TestEnvironment.with(Requests.route(true), server);
      assertEquals(Requests.send(environment).join().status().code(), 200);
      assertEquals(Requests.send(environment).join().status().code(), 503);
      ServerState state = environment.servers().of("s").getFirst().state();
      assertTrue(state.backpressure().requestsPerSecond().isPresent());
      environment.loop().stop();
    }
  }

  /**
   * Guards against health checks, which are requests too, that double the load of an overloaded
   * server.
   */
  @Test
  public void limitedServersAreNotProbed() throws IOException {
    AtomicInteger healthChecks = new AtomicInteger();
    ScriptedServer.Script script =
        request -> {
          if (request.line().contains("/health")) {
            healthChecks.incrementAndGet();
          }
          return limited(request);
        };
    try (ScriptedServer server = new ScriptedServer("a", script)) {
      Route route = Requests.route(true);
      Environment environment = TestEnvironment.with(route, server);
      ServicePolicy policy = new ServicePolicy("s", "/health", 9, Warmup.UNLIMITED);
      environment
          .routes()
          .set(new RouteTable(2, List.of(route), List.of(policy), CallerLimits.DEFAULT));
      assertEquals(Requests.send(environment).join().status().code(), 200);
      assertEquals(server.received().size(), 1);
      assertEquals(healthChecks.get(), 1, "health checks besides the one that stated the limit");
      environment.loop().stop();
    }
  }
}
