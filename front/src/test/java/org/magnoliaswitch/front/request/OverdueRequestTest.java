package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.PendingQueue;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.WeightedService;
import org.testng.annotations.Test;

/** An idempotent request whose server does not answer or fails. */
public final class OverdueRequestTest {
  private static final long OBJECTIVE = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);
  private static final Route ROUTE =
      new Route("r", "h", "/", true, MINUTE, OBJECTIVE, 0, 2, List.of(new WeightedService("s", 1)));

  /**
   * The timeout exceeds a first connection on a machine short of processor time, which took 1.4 s.
   */
  private static final Route SHORT_ROUTE =
      new Route(
          "r",
          "h",
          "/",
          true,
          TimeUnit.SECONDS.toNanos(10),
          OBJECTIVE,
          0,
          2,
          List.of(new WeightedService("s", 1)));

  /** Finds a first server, then none for several searches, then a second server. */
  private record DelayedFinder(
      ServerState first, ServerState second, int[] searchCount, int searchesWithoutResult)
      implements ServerFinder {
    @Override
    public void search(ServerQuery query, Set<String> excluded, Consumer<Result> found) {
      int search = searchCount[0]++;
      if (search == 0) {
        found.accept(new Result.Chosen(first));
      } else if (search <= searchesWithoutResult) {
        found.accept(new Result.Full(0));
      } else {
        found.accept(new Result.Chosen(second));
      }
    }

    @Override
    public void recordFirstSearch(String service, Timeliness timeliness, boolean found) {
      // Not needed for a single request.
    }

    @Override
    public boolean isSuitable(ServerState server, ServerQuery query) {
      return false;
    }
  }

  /**
   * The server hangs, and when the response is overdue all others are full. A moment later one has
   * capacity. The caller still waits and must get the response from there, instead of a timeout.
   */
  @Test
  public void searchesForASecondServerUntilThereIsCapacity()
      throws IOException, InterruptedException {
    BlockingQueue<CallerResponse> responses = new ArrayBlockingQueue<>(1);
    try (ScriptedServer hung =
            new ScriptedServer(
                "a",
                r -> {
                  r.awaitClose();
                  return false;
                });
        ScriptedServer healthy = new ScriptedServer("b", r -> r.respond(200, "x"))) {
      Environment environment = TestEnvironment.with(ROUTE, hung, healthy);
      ServerState first = state(environment, "a");
      DelayedFinder finder = new DelayedFinder(first, state(environment, "b"), new int[1], 2);
      Exchange exchange =
          new Exchange(
              environment,
              finder,
              new Authenticator(environment),
              new PendingQueue<>(Mechanisms.ALL),
              request(environment),
              responses::add);
      environment.loop().execute(() -> exchange.start(() -> Optional.of(ROUTE)));
      assertEquals(responses.take().status().code(), 200);
      environment.loop().stop();
    }
  }

  /**
   * The server has executed the request and failed, and no second server has capacity while the
   * caller waits. The caller must get the response of the server, which says more than one of the
   * instance.
   */
  @Test
  public void forwardsAFailureWhenNoSecondServerHasCapacity()
      throws IOException, InterruptedException {
    BlockingQueue<CallerResponse> responses = new ArrayBlockingQueue<>(1);
    try (ScriptedServer failing = new ScriptedServer("a", r -> r.respond(500, "reason"))) {
      Environment environment = TestEnvironment.with(SHORT_ROUTE, failing);
      ServerState server = state(environment, "a");
      // The second search and all later ones find nothing.
      DelayedFinder finder = new DelayedFinder(server, server, new int[] {0}, Integer.MAX_VALUE);
      Exchange exchange =
          new Exchange(
              environment,
              finder,
              new Authenticator(environment),
              new PendingQueue<>(Mechanisms.ALL),
              request(environment),
              responses::add);
      environment.loop().execute(() -> exchange.start(() -> Optional.of(SHORT_ROUTE)));
      CallerResponse response = responses.take();
      assertEquals(response.status().code(), 500);
      assertEquals(new String(response.body(), StandardCharsets.US_ASCII), "reason");
      environment.loop().stop();
    }
  }

  private static CallerRequest request(Environment environment) {
    return new CallerRequest(
        HttpMethod.GET,
        "/x",
        new DefaultHttpHeaders().set("Request-Id", "1"),
        new byte[0],
        environment.clocks().nanos(),
        false,
        "127.0.0.1");
  }

  private static ServerState state(Environment environment, String id) {
    return environment.servers().of("s").stream()
        .map(pool -> pool.state())
        .filter(server -> server.entry().id().equals(id))
        .findFirst()
        .orElseThrow();
  }
}
