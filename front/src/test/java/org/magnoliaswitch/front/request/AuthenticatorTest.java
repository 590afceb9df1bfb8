package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.load.QuotaBounds;
import org.magnoliaswitch.front.process.Environment;
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
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which requests are served by the keys that they carry. */
public final class AuthenticatorTest {
  private static final String KEY = "s3cr3t";
  private static final TeamTable TEAMS = teams(KEY);

  private static TeamTable teams(String... keys) {
    return new TeamTable(
        Stream.of(keys)
            .map(
                key -> new Team("red-" + key.length(), Set.of(new ApiKey(key)), Quota.UNLIMITED, 0))
            .toList());
  }

  private static RouteTable table(Route route, TeamTable teams) {
    return new RouteTable(1, List.of(route), List.of(), CallerLimits.DEFAULT, teams);
  }

  /** An instance with one server, whose clocks and configuration the test sets. */
  private abstract static class Instance {
    final ManualClock clock = new ManualClock();
    private final TeamBounds bounds;
    private Environment environment = TestEnvironment.withoutConfiguration();
    private ScriptedServer server;

    Instance(TeamBounds bounds) {
      this.bounds = bounds;
    }

    @BeforeMethod
    public void start() throws IOException {
      environment.loop().stop();
      environment = TestEnvironment.withoutConfiguration(clock.withWallClock(), bounds);
      server = new ScriptedServer("a", request -> request.respond(200, "x"));
      configure(Requests.route(false), TEAMS);
      confirm();
    }

    @AfterMethod
    public void stop() throws IOException {
      environment.loop().stop();
      server.close();
    }

    Environment environment() {
      return environment;
    }

    List<ScriptedServer.Received> received() {
      return server.received();
    }

    void configure(Route route, TeamTable teams) {
      TestEnvironment.configure(environment, table(route, teams), server);
    }

    /** Records that peers tell that the configuration is fresh now. */
    void hearFromPeers() {
      environment.routesFreshness().confirmed(environment.clocks().nanos());
    }

    /** Records that the store was read now. */
    void confirm() {
      hearFromPeers();
      environment.confirmation().confirmed(environment.confirmation().now());
    }

    CallerResponse send(HttpHeaders headers) {
      return Requests.send(environment, headers).join();
    }

    int status(String... authorizations) {
      return send(headers(authorizations)).status().code();
    }

    static HttpHeaders headers(String... authorizations) {
      return new DefaultHttpHeaders().set("Authorization", List.of(authorizations));
    }
  }

  /** The keys of requests. */
  public static final class Keys extends Instance {
    public Keys() {
      super(TeamBounds.DEFAULT);
    }

    /** Each row: name, values of the header {@code Authorization}. */
    @DataProvider
    public Object[][] invalid() {
      return new Object[][] {
        {"missing", List.of()},
        {"unknown", List.of("Token other")},
        {"two headers", List.of("Token " + KEY, "Token " + KEY)},
        {"two headers, one of another scheme", List.of("Basic eDp5", "Token " + KEY)},
        {"other scheme", List.of("Bearer " + KEY)},
        {"no scheme", List.of(KEY)},
        {"longer scheme", List.of("Tokens " + KEY)},
        {"no space", List.of("Token" + KEY)},
        {"empty", List.of("Token ")},
        {"empty header", List.of("")},
        {"scheme only", List.of("Token")},
        {"prefix", List.of("Token s3cr3")},
        {"8 kB", List.of("Token " + "k".repeat(8 << 10))},
        {"spaces", List.of("Token s3 cr3t")},
        {"further word", List.of("Token " + KEY + " x")},
        {"further key", List.of("Token " + KEY + ", Token " + KEY)},
        {"other case", List.of("Token S3CR3T")},
      };
    }

    /** Guards against serving, or retrying, requests that have no valid key. */
    @Test(dataProvider = "invalid")
    public void requestWithoutAValidKeyIsRejected(String name, List<String> values) {
      CallerResponse response = send(headers(values.toArray(String[]::new)));
      assertEquals(response.status().code(), 401, name);
      assertFalse(response.headers().contains("Retry-After"));
      assertEquals(received().size(), 0);
      String text = response.headers() + new String(response.body(), StandardCharsets.UTF_8);
      assertFalse(text.contains(KEY), text);
    }

    @Test
    public void requestWithAKeyIsServed() {
      assertEquals(status("Token " + KEY), 200);
      assertEquals(status("token " + KEY), 200);
    }
  }

  /** What servers receive. */
  public static final class Forwarding extends Instance {
    public Forwarding() {
      super(TeamBounds.DEFAULT);
    }

    private String head() {
      return received().getLast().head();
    }

    /** Guards against a caller that passes itself off as another team. */
    @Test
    public void teamOfTheKeyReplacesWhatTheCallerSent() {
      HttpHeaders headers = headers("Token " + KEY);
      headers.add("Team", "blue").add("team", "green");
      assertEquals(send(headers).status().code(), 200);
      assertEquals(received().getLast().header("Team"), "red-6");
      assertFalse(head().contains("blue") || head().contains("green"), head());
    }

    /** Guards against backend servers that log or pass on keys. */
    @Test
    public void serverDoesNotReceiveTheKey() {
      assertEquals(status("Token " + KEY), 200);
      assertFalse(head().contains(KEY), head());
      assertEquals(received().getLast().header("Authorization"), "");
    }

    /** Guards against a team on routes that check no key, and against keys sent there anyway. */
    @Test
    public void anonymousRouteHasNeitherTeamNorKey() {
      configure(Requests.route(false).withoutKeys(), TEAMS);
      HttpHeaders headers = headers("Token " + KEY, "token " + KEY);
      headers.add("Team", "blue");
      assertEquals(send(headers).status().code(), 200);
      assertFalse(head().contains(KEY) || head().contains("blue"), head());
      assertEquals(received().getLast().header("Team"), "");
      assertEquals(status(), 200);
    }

    /** Guards against a change for deployments without teams: all headers are the callers' own. */
    @Test
    public void withoutTeamsHeadersAreForwarded() {
      configure(Requests.route(false), TeamTable.EMPTY);
      HttpHeaders headers = headers("Token " + KEY);
      headers.add("Team", "blue");
      assertEquals(send(headers).status().code(), 200);
      assertEquals(received().getLast().header("Team"), "blue");
      assertEquals(received().getLast().header("Authorization"), "Token " + KEY);
    }
  }

  /** Keys that may have been added since the configuration was confirmed. */
  public static final class Additions extends Instance {
    public Additions() {
      super(TeamBounds.DEFAULT);
    }

    /** Guards against rejecting for good a key that has just been added. */
    @Test
    public void staleConfigurationDoesNotRejectAnUnknownKey() {
      clock.advance(TimeUnit.MILLISECONDS.toNanos(2_100));
      for (String[] values : new String[][] {{"Token new"}, {}, {"Token new", "Token other"}}) {
        CallerResponse response = send(headers(values));
        assertEquals(response.status().code(), 503);
        assertTrue(response.headers().contains("Retry-After"));
      }
      assertEquals(status("Token " + KEY), 200, "a known key");
      confirm();
      assertEquals(status("Token new"), 401);
    }

    /**
     * Guards against 401 by instances that have heard only each other, with messages on their way.
     */
    @Test
    public void freshnessToldByPeersDoesNotRejectAnUnknownKey() {
      clock.advance(TimeUnit.MILLISECONDS.toNanos(2_100));
      hearFromPeers();
      assertEquals(status("Token new"), 503);
      confirm();
      assertEquals(status("Token new"), 401);
    }

    /** Guards against 401 after a suspension, during which the monotonic clock stood still. */
    @Test
    public void configurationFromBeforeASuspensionDoesNotRejectAnUnknownKey() {
      clock.advanceWallClock(60_000);
      assertEquals(status("Token new"), 503);
      confirm();
      assertEquals(status("Token new"), 401);
    }
  }

  /** Keys that may have been revoked since the configuration was confirmed. */
  public static final class Revocation extends Instance {
    public Revocation() {
      super(
          new TeamBounds(
              true,
              TimeUnit.SECONDS.toNanos(5),
              new QuotaBounds(TimeUnit.SECONDS.toNanos(5), 0, 0)));
    }

    /** Guards against serving a key that was revoked while this instance was cut off. */
    @Test
    public void noKeyIsServedWithoutAConfirmation() {
      clock.advance(TimeUnit.MILLISECONDS.toNanos(5_000));
      CallerResponse response = send(headers("Token " + KEY));
      assertEquals(response.status().code(), 503);
      assertTrue(response.headers().contains("Retry-After"));
      assertEquals(received().size(), 0);
    }

    /** Guards against refusing callers while the store is unavailable for a shorter time. */
    @Test
    public void keysAreServedForMostOfTheRevocationTime() {
      clock.advance(TimeUnit.MILLISECONDS.toNanos(4_800));
      assertEquals(status("Token " + KEY), 200);
    }

    /** Guards against an instance that goes on refusing after the store is back. */
    @Test
    public void keysAreServedAgainAfterTheNextConfirmation() {
      clock.advance(TimeUnit.SECONDS.toNanos(60));
      assertEquals(status("Token " + KEY), 503);
      confirm();
      assertEquals(status("Token " + KEY), 200);
    }

    /** Guards against serving a key that was revoked while the machine was suspended. */
    @Test
    public void noKeyIsServedAfterASuspension() {
      clock.advanceWallClock(5_000);
      assertEquals(status("Token " + KEY), 503);
      assertEquals(received().size(), 0);
    }

    /** Guards against refusing where no key is needed. */
    @Test
    public void requestsWithoutKeysAreServed() {
      configure(Requests.route(false).withoutKeys(), TEAMS);
      clock.advance(TimeUnit.SECONDS.toNanos(60));
      assertEquals(status(), 200);
      configure(Requests.route(false), TeamTable.EMPTY);
      assertEquals(status(), 200);
    }
  }
}
