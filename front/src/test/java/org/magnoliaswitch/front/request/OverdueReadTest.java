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

/** A read whose server does not answer, or fails. */
public final class OverdueReadTest {
  private static final long OBJECTIVE = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);
  private static final Route ROUTE =
      new Route("r", "h", "/", true, MINUTE, OBJECTIVE, 0, 2, List.of(new WeightedService("s", 1)));

  /** Long enough for a first connection on a starved machine, which took 1.4 s. */
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

  /** Finds one server first, then nothing for some searches, then another server. */
  private record LateFinder(ServerState first, ServerState second, int[] searches, int fullSearches)
      implements ServerFinder {
    @Override
    public void search(ServerQuery wanted, Set<String> excluded, Consumer<Result> found) {
      int search = searches[0]++;
      if (search == 0) {
        found.accept(new Result.Chosen(first));
      } else if (search <= fullSearches) {
        found.accept(new Result.Full(0));
      } else {
        found.accept(new Result.Chosen(second));
      }
    }

    @Override
    public void sought(String service, Timeliness timeliness, boolean found) {
      // Nothing is learnt from one request.
    }

    @Override
    public boolean suits(ServerState server, ServerQuery wanted) {
      return false;
    }
  }

  /**
   * The server hangs, and when the answer is overdue all others are full. A moment later one has
   * room. The caller still waits and must get the answer from there, not the hung server's silence.
   */
  @Test
  public void aSecondServerIsSoughtUntilThereIsRoom() throws IOException, InterruptedException {
    BlockingQueue<CallerResponse> answers = new ArrayBlockingQueue<>(1);
    try (ScriptedServer hung =
            new ScriptedServer(
                "a",
                r -> {
                  r.awaitClose();
                  return false;
                });
        ScriptedServer well = new ScriptedServer("b", r -> r.answer(200, "x"))) {
      Environment environment = TestEnvironment.with(ROUTE, hung, well);
      ServerState first = state(environment, "a");
      LateFinder finder = new LateFinder(first, state(environment, "b"), new int[1], 2);
      Exchange exchange =
          new Exchange(
              environment,
              finder,
              new PendingQueue<>(Mechanisms.ALL),
              request(environment),
              answers::add);
      environment.loop().execute(() -> exchange.start(() -> Optional.of(ROUTE)));
      assertEquals(answers.take().status().code(), 200);
      environment.loop().stop();
    }
  }

  /**
   * The server has run the read and failed, and no second server has room while the caller waits.
   * It must get the server's own answer, not one of ours that says less.
   */
  @Test
  public void aFailureIsPassedOnWhenNoSecondServerHasRoom()
      throws IOException, InterruptedException {
    BlockingQueue<CallerResponse> answers = new ArrayBlockingQueue<>(1);
    try (ScriptedServer failing = new ScriptedServer("a", r -> r.answer(500, "reason"))) {
      Environment environment = TestEnvironment.with(SHORT_ROUTE, failing);
      ServerState server = state(environment, "a");
      // The second search and all after it find nothing.
      LateFinder finder = new LateFinder(server, server, new int[] {0}, Integer.MAX_VALUE);
      Exchange exchange =
          new Exchange(
              environment,
              finder,
              new PendingQueue<>(Mechanisms.ALL),
              request(environment),
              answers::add);
      environment.loop().execute(() -> exchange.start(() -> Optional.of(SHORT_ROUTE)));
      CallerResponse answer = answers.take();
      assertEquals(answer.status().code(), 500);
      assertEquals(new String(answer.body(), StandardCharsets.US_ASCII), "reason");
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
