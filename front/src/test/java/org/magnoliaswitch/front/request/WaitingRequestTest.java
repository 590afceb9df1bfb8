package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
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

/** A request that waits for capacity while searches and offers overlap. */
public final class WaitingRequestTest {
  private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);
  private static final Route ROUTE =
      new Route("r", "h", "/", false, MINUTE, MINUTE, 0, 2, List.of(new WeightedService("s", 1)));

  /** Leaves every search without a result until the test provides one. */
  private static final class PendingFinder implements ServerFinder {
    private final List<Consumer<Result>> searches = new ArrayList<>();
    private final CountDownLatch secondSearch = new CountDownLatch(2);

    @Override
    public void search(ServerQuery query, Set<String> excluded, Consumer<Result> found) {
      searches.add(found);
      secondSearch.countDown();
    }

    @Override
    public void recordFirstSearch(String service, Timeliness timeliness, boolean found) {
      // Not needed for a single request.
    }

    @Override
    public boolean isSuitable(ServerState server, ServerQuery query) {
      return true;
    }
  }

  /**
   * All servers are full, so a non-idempotent request is queued, and the health checks of its
   * second search are pending. Then the response to another request reports capacity and the
   * request is sent there. The responses to the health checks must not send it a second time: it
   * would be executed twice.
   */
  @Test
  public void aLateSearchResultDoesNotSendARequestAgain() throws IOException, InterruptedException {
    CountDownLatch answered = new CountDownLatch(1);
    try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"))) {
      Environment environment = TestEnvironment.with(ROUTE, server);
      PendingFinder finder = new PendingFinder();
      ServerState state = environment.servers().of("s").getFirst().state();
      CallerRequest request =
          new CallerRequest(
              HttpMethod.POST,
              "/x",
              new DefaultHttpHeaders().set("Request-Id", "1"),
              new byte[0],
              environment.clocks().nanos(),
              false,
              "127.0.0.1");
      Consumer<CallerResponse> respond = result -> answered.countDown();
      PendingQueue<RequestPlacement> pendingQueue = new PendingQueue<>(Mechanisms.ALL);
      Exchange exchange =
          new Exchange(
              environment, finder, new Authenticator(environment), pendingQueue, request, respond);
      environment
          .loop()
          .execute(
              () -> {
                exchange.start(() -> Optional.of(ROUTE));
                finder.searches.getFirst().accept(new ServerFinder.Result.Full(0));
              });
      finder.secondSearch.await();
      environment
          .loop()
          .execute(
              () -> {
                pendingQueue.peek("s").orElseThrow().acceptOffer(state);
                finder.searches.getLast().accept(new ServerFinder.Result.Chosen(state));
              });
      answered.await();
      assertEquals(server.received().size(), 1);
      environment.loop().stop();
    }
  }
}
