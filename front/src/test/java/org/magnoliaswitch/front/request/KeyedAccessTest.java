package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.PendingQueue;
import org.magnoliaswitch.front.load.QuotaBounds;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.process.Admission;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.process.GrantedQuotas;
import org.magnoliaswitch.front.process.TeamBounds;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.testing.Requests;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.ApiKey;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Quota;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamTable;
import org.testng.annotations.Test;

/** Tests that the key of a request is checked again at each send. */
public final class KeyedAccessTest {
  private static final TeamBounds STRICT =
      new TeamBounds(
          true, TimeUnit.SECONDS.toNanos(5), new QuotaBounds(TimeUnit.SECONDS.toNanos(5), 0, 0));

  private static Team team(String name, String key) {
    return new Team(name, Set.of(new ApiKey(key)), Quota.UNLIMITED, 0);
  }

  /** A request with key {@code k} whose searches for a server the test answers. */
  private static final class Pending implements ServerFinder, AutoCloseable {
    private final BlockingQueue<Consumer<Result>> searches = new LinkedBlockingQueue<>();
    private final CompletableFuture<CallerResponse> response = new CompletableFuture<>();
    private final ManualClock clock = new ManualClock();
    private final Route route;
    private final ScriptedServer[] servers;
    private final Environment environment;

    Pending(Route route, ScriptedServer... servers) {
      this(route, Map.of(), team("red", "k"), servers);
    }

    /** Creates a request of an instance that may admit so many requests of each team. */
    Pending(Route route, Map<String, Integer> allowances, Team first, ScriptedServer... servers) {
      this.route = route;
      this.servers = servers;
      this.environment =
          TestEnvironment.withoutConfiguration(
              clock.withWallClock(),
              STRICT,
              new GrantedQuotas(clock.withWallClock(), allowances).links());
      configure(first);
      environment.confirmation().confirmed(environment.confirmation().now());
      CallerRequest request =
          new CallerRequest(
              HttpMethod.POST,
              "/x",
              new DefaultHttpHeaders().set("Request-Id", "1").set("Authorization", "Token k"),
              new byte[0],
              environment.clocks().nanos(),
              false,
              "127.0.0.1");
      Exchange exchange =
          new Exchange(
              environment,
              this,
              new Authenticator(environment),
              new PendingQueue<>(Mechanisms.ALL),
              request,
              response::complete);
      environment.loop().execute(() -> exchange.start(() -> Optional.of(route)));
    }

    /** Puts a version with some teams in force. */
    void configure(Team... teams) {
      TestEnvironment.configure(
          environment,
          new RouteTable(
              1, List.of(route), List.of(), CallerLimits.DEFAULT, new TeamTable(List.of(teams))),
          servers);
    }

    /** Waits for the next search, changes something, and lets the search find a server. */
    void find(String server, Runnable change) throws InterruptedException {
      Consumer<Result> search = searches.take();
      environment
          .loop()
          .execute(
              () -> {
                change.run();
                ServerState state =
                    environment.servers().of("s").stream()
                        .map(pool -> pool.state())
                        .filter(found -> found.entry().id().equals(server))
                        .findFirst()
                        .orElseThrow();
                search.accept(new Result.Chosen(state));
              });
    }

    int status() {
      return response.join().status().code();
    }

    @Override
    public void search(ServerQuery query, Set<String> excluded, Consumer<Result> found) {
      searches.add(found);
    }

    @Override
    public void recordFirstSearch(String service, Timeliness timeliness, boolean found) {
      // Not needed for a single request.
    }

    @Override
    public boolean isSuitable(ServerState server, ServerQuery query) {
      return true;
    }

    @Override
    public void close() {
      environment.loop().stop();
    }
  }

  /** The key changes before the first attempt. */
  public static final class BeforeTheFirstAttempt {
    /** Guards against executing a request whose key was revoked while it waited. */
    @Test
    public void requestWithARevokedKeyIsNotSent() throws IOException, InterruptedException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = new Pending(Requests.route(true), server)) {
        pending.find("a", () -> pending.configure(team("red", "other")));
        assertEquals(pending.status(), 401);
        assertEquals(server.received().size(), 0);
      }
    }

    /** Guards against executing a request on behalf of the team that the key belonged to. */
    @Test
    public void requestWithAMovedKeyIsSentForTheNewTeam() throws IOException, InterruptedException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = new Pending(Requests.route(true), server)) {
        pending.find("a", () -> pending.configure(team("blue", "k")));
        assertEquals(pending.status(), 200);
        assertEquals(server.received().getFirst().header("Team"), "blue");
      }
    }

    /** Guards against executing a request whose key may have been revoked while it waited. */
    @Test
    public void requestIsNotSentWhenTheConfirmationHasExpired()
        throws IOException, InterruptedException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = new Pending(Requests.route(true), server)) {
        pending.find("a", () -> pending.clock.advanceWallClock(5_000));
        assertEquals(pending.status(), 503);
        assertTrue(pending.response.join().headers().contains("Retry-After"));
        assertEquals(server.received().size(), 0);
      }
    }
  }

  /** The key changes before a further attempt. */
  public static final class BeforeAFurtherAttempt {
    /**
     * Guards against a retry with a revoked key. The first attempt may have been executed, so the
     * response does not say that the request was not.
     */
    @Test
    public void requestWithARevokedKeyIsNotSentAgain() throws IOException, InterruptedException {
      try (ScriptedServer a = new ScriptedServer("a", r -> false);
          ScriptedServer b = new ScriptedServer("b", r -> r.respond(200, "x"));
          Pending pending = new Pending(Requests.route(true), a, b)) {
        pending.find("a", () -> {});
        pending.find("b", () -> pending.configure(team("red", "other")));
        assertEquals(pending.status(), 502);
        assertEquals(b.received().size(), 0);
      }
    }

    /** Guards against a wrong response when the first server has stated that it did nothing. */
    @Test
    public void requestThatWasNotExecutedIsRejected() throws IOException, InterruptedException {
      try (ScriptedServer a = new ScriptedServer("a", r -> r.respondWith(503, "Not-Run: 1"));
          ScriptedServer b = new ScriptedServer("b", r -> r.respond(200, "x"));
          Pending pending = new Pending(Requests.route(false), a, b)) {
        pending.find("a", () -> {});
        pending.find("b", () -> pending.configure(team("red", "other")));
        assertEquals(pending.status(), 401);
        assertEquals(b.received().size(), 0);
      }
    }

    /** Guards against hedges with a revoked key; the first attempt was sent in time. */
    @Test
    public void requestWithARevokedKeyIsNotHedged() throws IOException, InterruptedException {
      CountDownLatch hedgeDenied = new CountDownLatch(1);
      try (ScriptedServer a =
              new ScriptedServer(
                  "a",
                  r -> {
                    hedgeDenied.await();
                    return r.respond(200, "x");
                  });
          ScriptedServer b = new ScriptedServer("b", r -> r.respond(200, "x"));
          Pending pending =
              new Pending(
                  new Route(
                      "r",
                      "h",
                      "/",
                      true,
                      TimeUnit.MINUTES.toNanos(1),
                      TimeUnit.MILLISECONDS.toNanos(100),
                      0,
                      3,
                      Requests.route(true).services()),
                  a,
                  b)) {
        pending.find("a", () -> {});
        a.awaitFirst();
        pending.find("b", () -> pending.configure(team("red", "other")));
        pending.environment.loop().execute(hedgeDenied::countDown);
        assertEquals(pending.status(), 200);
        assertEquals(b.received().size(), 0);
      }
    }
  }

  /** The places of requests within the quotas of teams. */
  public static final class Quotas {
    private static final Quota QUOTA = new Quota(10, 10);

    private static Team limited(String name, String key) {
      return new Team(name, Set.of(new ApiKey(key)), QUOTA, 0);
    }

    private static boolean mayAdmit(Pending pending, String team) {
      return pending.environment.teamQuotas().admit(limited(team, "k"))
          instanceof Admission.Admitted;
    }

    private static Pending pending(int red, int blue, Route route, ScriptedServer... servers) {
      return new Pending(route, Map.of("red", red, "blue", blue), limited("red", "k"), servers);
    }

    /** Guards against sending, or holding back, what is beyond the quota. */
    @Test
    public void requestBeyondTheQuotaIsRefusedAtOnce() throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = pending(0, 1, Requests.route(true), server)) {
        assertEquals(pending.status(), 429);
        double seconds = Double.parseDouble(pending.response.join().headers().get("Retry-After"));
        assertTrue(seconds > 0 && seconds <= 5, "Retry-After: " + seconds);
        assertTrue(pending.searches.isEmpty(), "searches");
        assertEquals(server.received().size(), 0);
      }
    }

    /** Guards against a 429 whose log line does not tell why nothing more may be admitted. */
    @Test
    public void refusalNamesTheStateOfTheQuota() throws IOException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = pending(0, 1, Requests.route(true), server)) {
        Admission refused = pending.environment.teamQuotas().admit(limited("red", "k"));
        assertTrue(
            refused instanceof Admission.OverQuota over
                && over.state() == Admission.QuotaState.CLOSED,
            "refused: " + refused);
      }
    }

    /** Guards against 429 while the quota is not known: callers would wait for nothing. */
    @Test
    public void requestIsNotAdmittedOnAnExpiredAllowance()
        throws IOException, InterruptedException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = pending(2, 1, Requests.route(true), server)) {
        pending.find("a", () -> pending.clock.advance(TimeUnit.SECONDS.toNanos(2)));
        assertEquals(pending.status(), 200, "admitted before");
        assertEquals(
            Requests.send(
                    pending.environment, new DefaultHttpHeaders().set("Authorization", "Token k"))
                .join()
                .status()
                .code(),
            503);
        assertEquals(server.received().size(), 1);
      }
    }

    /** Guards against a team that pays for requests that were never executed. */
    @Test
    public void placeOfARequestThatWasNotSentIsReturned() throws IOException, InterruptedException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = pending(1, 1, Requests.route(true), server)) {
        pending.find("a", () -> pending.configure(limited("red", "other")));
        assertEquals(pending.status(), 401);
        assertTrue(mayAdmit(pending, "red"));
      }
    }

    @Test
    public void placeOfARequestThatWasSentIsUsed() throws IOException, InterruptedException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = pending(1, 1, Requests.route(true), server)) {
        pending.find("a", () -> {});
        assertEquals(pending.status(), 200);
        assertFalse(mayAdmit(pending, "red"));
      }
    }

    /** Guards against counting a waiting request for two teams when its key moves. */
    @Test
    public void waitingRequestCountsForTheTeamThatItsKeyMovesTo()
        throws IOException, InterruptedException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = pending(1, 1, Requests.route(true), server)) {
        pending.find("a", () -> pending.configure(limited("blue", "k")));
        assertEquals(pending.status(), 200);
        assertTrue(mayAdmit(pending, "red"));
        assertFalse(mayAdmit(pending, "blue"));
      }
    }

    /**
     * Guards against a team that gets back the place of an attempt that was sent, because the key
     * has moved before the next attempt.
     */
    @Test
    public void attemptsCountForTheTeamsThatTheyWereSentFor()
        throws IOException, InterruptedException {
      try (ScriptedServer a = new ScriptedServer("a", r -> false);
          ScriptedServer b = new ScriptedServer("b", r -> r.respond(200, "x"));
          Pending pending = pending(1, 1, Requests.route(true), a, b)) {
        pending.find("a", () -> {});
        pending.find("b", () -> pending.configure(limited("blue", "k")));
        assertEquals(pending.status(), 200);
        assertFalse(mayAdmit(pending, "red"));
        assertFalse(mayAdmit(pending, "blue"));
      }
    }

    /** Guards against sending for a team that has no place left. */
    @Test
    public void waitingRequestIsRefusedIfItsKeyMovesToATeamBeyondItsQuota()
        throws IOException, InterruptedException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = pending(1, 0, Requests.route(true), server)) {
        pending.find("a", () -> pending.configure(limited("blue", "k")));
        assertEquals(pending.status(), 429);
        assertEquals(server.received().size(), 0);
        assertTrue(mayAdmit(pending, "red"));
      }
    }

    /** Guards against requests that are counted for no team when they end unsent. */
    @Test
    public void requestThatEndsUnsentIsCountedForItsTeam()
        throws IOException, InterruptedException {
      try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, "x"));
          Pending pending = pending(1, 1, Requests.route(true), server)) {
        pending.find("a", () -> pending.configure(limited("red", "other")));
        assertEquals(pending.status(), 401);
        String page = pending.environment.metrics().scrape();
        assertTrue(page.contains("team_requests_total{result=\"key\",team=\"red\"} 1"), page);
      }
    }
  }
}
