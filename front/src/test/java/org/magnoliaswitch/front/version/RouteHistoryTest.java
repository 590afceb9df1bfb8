package org.magnoliaswitch.front.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the updates that are sent to instances with an earlier configuration version. */
public final class RouteHistoryTest {
  private static final List<ServicePolicy> SERVICES =
      List.of(new ServicePolicy("s", "/health", 10, Warmup.UNLIMITED));

  private static Route route(String name, String prefix) {
    return new Route(
        name, "h", "/" + prefix + "/", true, 5, 4, 3, 2, List.of(new WeightedService("s", 1)));
  }

  private static RouteTable table(long version, Route... routes) {
    return new RouteTable(version, List.of(routes), SERVICES, CallerLimits.DEFAULT);
  }

  private static RouteHistory history(RouteTable... tables) {
    RouteHistory history = new RouteHistory();
    for (RouteTable table : tables) {
      assertTrue(history.add(table));
    }
    return history;
  }

  private static void assertSame(RouteTable actual, RouteTable expected) {
    assertEquals(actual.version(), expected.version());
    assertEquals(new HashSet<>(actual.routes()), new HashSet<>(expected.routes()));
    assertEquals(List.copyOf(actual.services()), List.copyOf(expected.services()));
    assertEquals(actual.limits(), expected.limits());
  }

  /** The receiver has a version that was in force on the sender. */
  public static final class FromKnownVersion {
    private static final RouteTable FIRST = table(3, route("a", "1"), route("b", "1"));
    private static final RouteTable SECOND = table(5, route("a", "2"), route("b", "1"));
    private static final RouteTable THIRD = table(9, route("a", "2"), route("c", "1"));

    @Test
    public void onlyChangedRoutesAreSent() {
      RouteUpdate update = history(FIRST, SECOND, THIRD).since(5);
      assertEquals(
          update,
          new RouteUpdate.Changes(
              new RouteChanges(
                  5,
                  9,
                  List.of(route("c", "1")),
                  Set.of("b"),
                  SERVICES,
                  CallerLimits.DEFAULT,
                  TeamChanges.NONE)));
    }

    @Test
    public void changesOfSeveralVersionsAreMerged() {
      RouteUpdate update = history(FIRST, SECOND, THIRD).since(3);
      assertSame(update.applyTo(FIRST).orElseThrow(), THIRD);
    }

    /** Guards against changes that are applied to another version than their base version. */
    @Test
    public void changesDoNotApplyToAnotherVersion() {
      RouteUpdate update = history(FIRST, SECOND, THIRD).since(3);
      assertEquals(update.applyTo(SECOND), Optional.empty());
      assertEquals(update.applyTo(RouteTable.EMPTY), Optional.empty());
    }

    /**
     * Guards against updates that lead to another table than the newest, with random
     * configurations.
     */
    @Test
    public void updatesFromAllKnownVersionsLeadToTheNewest() {
      Random random = new Random(11);
      for (int run = 0; run < 200; run++) {
        List<RouteTable> tables = new ArrayList<>();
        RouteHistory history = new RouteHistory();
        for (long version = 1; version < 20; version += 1 + random.nextInt(3)) {
          List<Route> routes = new ArrayList<>();
          for (int name = 0; name < 6; name++) {
            if (random.nextBoolean()) {
              routes.add(route("r" + name, "p" + random.nextInt(2)));
            }
          }
          tables.add(table(version, routes.toArray(Route[]::new)));
          history.add(tables.getLast());
        }
        for (RouteTable held : tables) {
          if (held != tables.getLast()) {
            RouteUpdate update = history.since(held.version());
            assertSame(update.applyTo(held).orElseThrow(), tables.getLast());
          }
        }
      }
    }
  }

  /** The receiver has a version that was never in force on the sender, or none. */
  public static final class FromUnknownVersion {
    /**
     * Guards against a lost update of a route that such a version changed and a later one changed
     * back.
     */
    @Test
    public void fullConfigurationIsSent() {
      RouteTable last = table(9, route("a", "1"));
      RouteHistory history = history(table(3, route("a", "1")), last);
      assertEquals(history.since(5), new RouteUpdate.Full(last));
      assertEquals(history.since(0), new RouteUpdate.Full(last));
      assertSame(history.since(5).applyTo(table(5, route("a", "2"))).orElseThrow(), last);
    }

    @Test
    public void olderConfigurationIsIgnored() {
      RouteHistory history = history(table(9));
      assertFalse(history.add(table(9)));
      assertFalse(history.add(table(8)));
      assertEquals(history.version(), 9);
    }
  }

  /** Versions whose teams differ. */
  public static final class Teams {
    private static Team team(String name, String... keys) {
      Set<ApiKey> all = new HashSet<>();
      for (String key : keys) {
        all.add(new ApiKey(key));
      }
      return new Team(name, all, Quota.UNLIMITED, 0);
    }

    private static RouteTable version(long version, Team... teams) {
      return new RouteTable(
          version,
          List.of(route("a", "1")),
          SERVICES,
          CallerLimits.DEFAULT,
          new TeamTable(List.of(teams)));
    }

    private static RouteTable applied(RouteTable base, RouteTable... later) {
      RouteHistory history = history(base);
      for (RouteTable next : later) {
        assertTrue(history.add(next));
      }
      RouteUpdate update = history.since(base.version());
      assertTrue(update instanceof RouteUpdate.Changes);
      return update.applyTo(base).orElseThrow();
    }

    private static void assertSameTeams(RouteTable actual, RouteTable expected) {
      assertSame(actual, expected);
      assertEquals(new HashSet<>(actual.teams().teams()), new HashSet<>(expected.teams().teams()));
    }

    /** Guards against sending a thousand teams because one of them has changed. */
    @Test
    public void onlyChangedTeamsAreSent() {
      RouteUpdate update =
          history(
                  version(3, team("a", "1"), team("b", "2"), team("c", "3")),
                  version(4, team("a", "1"), team("b", "2", "4")))
              .since(3);
      TeamChanges changes = ((RouteUpdate.Changes) update).changes().teams();
      assertEquals(changes, new TeamChanges(List.of(team("b", "2", "4")), Set.of("c"), true));
    }

    /** Guards against an update that cannot be applied because two teams have a key meanwhile. */
    @Test
    public void movedKeyIsApplied() {
      RouteTable base = version(3, team("a", "1", "x"), team("b", "2"));
      RouteTable next = version(4, team("a", "1"), team("b", "2", "x"));
      assertSameTeams(applied(base, next), next);
      assertEquals(applied(base, next).teams().find("x"), team("b", "2", "x"));
    }

    /** Guards against a revoked key that stays valid on instances that have skipped a version. */
    @Test
    public void revokedKeyIsUnknownAfterSeveralVersions() {
      RouteTable base = version(3, team("a", "1", "x"));
      RouteTable last = version(9, team("a", "1"), team("b", "2"));
      RouteTable received = applied(base, version(4, team("a", "1")), last);
      assertSameTeams(received, last);
      assertNull(received.teams().find("x"));
    }

    @Test
    public void lastTeamIsRemoved() {
      assertTrue(applied(version(3, team("a", "1")), version(4)).teams().isEmpty());
      assertFalse(applied(version(3), version(4, team("a", "1"))).teams().isEmpty());
    }
  }
}
