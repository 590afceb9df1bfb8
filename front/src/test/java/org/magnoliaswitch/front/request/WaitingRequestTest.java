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

/** A request that waits for room while searches and offers overlap. */
public final class WaitingRequestTest {
  private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);
  private static final Route ROUTE =
      new Route("r", "h", "/", false, MINUTE, MINUTE, 0, 2, List.of(new WeightedService("s", 1)));

  /** Holds every search open until the test answers it. */
  private static final class HeldFinder implements ServerFinder {
    private final List<Consumer<Result>> searches = new ArrayList<>();
    private final CountDownLatch second = new CountDownLatch(2);

    @Override
    public void search(ServerQuery wanted, Set<String> excluded, Consumer<Result> found) {
      searches.add(found);
      second.countDown();
    }

    @Override
    public void sought(String service, Timeliness timeliness, boolean found) {
      // Nothing is learnt from one request.
    }

    @Override
    public boolean suits(ServerState server, ServerQuery wanted) {
      return true;
    }
  }

  /**
   * All servers are full, so a booking waits in line and a second search has its health checks
   * under way. Then another request's answer tells of room and the booking goes there. The answers
   * to the health checks must not send the booking a second time: it would run twice.
   */
  @Test
  public void aLateSearchResultDoesNotSendARequestThatHasFoundRoom()
      throws IOException, InterruptedException {
    CountDownLatch answered = new CountDownLatch(1);
    try (ScriptedServer server = new ScriptedServer("a", r -> r.answer(200, "x"))) {
      Environment environment = TestEnvironment.with(ROUTE, server);
      HeldFinder finder = new HeldFinder();
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
      Consumer<CallerResponse> answer = given -> answered.countDown();
      PendingQueue<Placing> pending = new PendingQueue<>(Mechanisms.ALL);
      Exchange exchange = new Exchange(environment, finder, pending, request, answer);
      environment
          .loop()
          .execute(
              () -> {
                exchange.start(() -> Optional.of(ROUTE));
                finder.searches.getFirst().accept(new ServerFinder.Result.Full(0));
              });
      finder.second.await();
      environment
          .loop()
          .execute(
              () -> {
                pending.peek("s").orElseThrow().offered(state);
                finder.searches.getLast().accept(new ServerFinder.Result.Chosen(state));
              });
      answered.await();
      assertEquals(server.received().size(), 1);
      environment.loop().stop();
    }
  }
}
