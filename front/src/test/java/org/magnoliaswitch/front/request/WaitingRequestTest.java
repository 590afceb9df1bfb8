package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.crash.Verdict;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.PendingQueue;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.WeightedService;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A request that waits for capacity while searches and offers overlap. */
public final class WaitingRequestTest {
  /** Longer than the interval between two searches of a request. */
  private static final long STEP_MILLIS = 20;

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

  private static CallerRequest request(Environment environment) {
    return new CallerRequest(
        HttpMethod.POST,
        "/x",
        new DefaultHttpHeaders().set("Request-Id", "1"),
        new byte[0],
        environment.clocks().nanos(),
        false,
        "127.0.0.1");
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
      CallerRequest request = request(environment);
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

  /** What the request meets after it has been sent. */
  @DataProvider
  public Object[][] laterEvents() {
    return new Object[][] {
      {"another search finds a server", Verdict.ALLOWED, true},
      {"another search finds no server", Verdict.ALLOWED, false},
      {"the request is refused as crashing servers", Verdict.REFUSED, true},
    };
  }

  /**
   * Guards against a second send, or a refusal as not executed, of a request that waited for the
   * verdict on it: an equal request is answered, which ends the suspicion and offers capacity,
   * while the timer of the wait is still running.
   */
  @Test(dataProvider = "laterEvents")
  public void anOfferEndsTheWaitForTheVerdict(String event, Verdict verdict, boolean serverFound)
      throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    ScriptedServer.Script holds =
        request -> {
          released.await();
          return request.respond(200, "x");
        };
    try (ScriptedServer server = new ScriptedServer("a", holds)) {
      Environment environment = TestEnvironment.with(ROUTE, server);
      PendingFinder finder = new PendingFinder();
      ServerState state = environment.servers().of("s").getFirst().state();
      PendingQueue<RequestPlacement> pendingQueue = new PendingQueue<>(Mechanisms.ALL);
      CallerRequest request = request(environment);
      RequestIdentity identity = request.identity();
      CompletableFuture<CallerResponse> response = new CompletableFuture<>();
      Exchange exchange =
          new Exchange(
              environment,
              finder,
              new Authenticator(environment),
              pendingQueue,
              request,
              response::complete);
      inSteps(
          environment.loop(),
          () -> {
            exchange.start(() -> Optional.of(ROUTE));
            finder.searches.removeFirst().accept(new ServerFinder.Result.Full(0));
            environment.crashes().receive(trialOf(identity), CrashWatch.Source.PEER);
          },
          () -> {
            environment.crashes().receive(answerOf(identity), CrashWatch.Source.PEER);
            pendingQueue.peek("s").ifPresent(first -> first.acceptOffer(state));
          },
          () -> {
            if (verdict == Verdict.REFUSED) {
              environment.crashes().receive(crashesOf(identity), CrashWatch.Source.PEER);
            }
          },
          () -> {
            ServerFinder.Result result =
                serverFound
                    ? new ServerFinder.Result.Chosen(state)
                    : new ServerFinder.Result.None();
            finder.searches.forEach(search -> search.accept(result));
          });
      assertTrue(state.inFlight() <= 1, event);
      released.countDown();
      boolean answered = response.join().status().code() == 200;
      assertEquals(server.received().size(), answered ? 1 : 0, event);
      environment.loop().stop();
    }
  }

  /** Runs steps on the loop, with time for the timers of a request between them. */
  private static void inSteps(Loop loop, Runnable... steps) throws InterruptedException {
    for (Runnable step : steps) {
      CountDownLatch done = new CountDownLatch(1);
      loop.afterMillis(
          STEP_MILLIS,
          () -> {
            step.run();
            done.countDown();
          });
      done.await();
    }
  }

  private static List<CrashReport> trialOf(RequestIdentity identity) {
    return List.of(
        new CrashReport.Crashed(identity, "x@0", false),
        new CrashReport.Crashed(identity, "y@0", false),
        new CrashReport.TrialStarted(identity, 1));
  }

  private static List<CrashReport> answerOf(RequestIdentity identity) {
    return List.of(new CrashReport.Cleared(identity, Set.of("x@0", "y@0"), 1));
  }

  private static List<CrashReport> crashesOf(RequestIdentity identity) {
    return List.of(
        new CrashReport.Crashed(identity, "u@0", false),
        new CrashReport.Crashed(identity, "v@0", false),
        new CrashReport.TrialStarted(identity, 2),
        new CrashReport.Crashed(identity, "w@0", true));
  }
}
