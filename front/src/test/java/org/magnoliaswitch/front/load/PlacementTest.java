package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.version.ServerEntry;
import org.testng.annotations.Test;

/** Tests the ranking of servers for a request. */
public final class PlacementTest {
  private static final long NOW = TimeUnit.SECONDS.toNanos(100);
  private static final long EXPECTED = TimeUnit.MILLISECONDS.toNanos(120);
  private static final long OBJECTIVE = TimeUnit.MILLISECONDS.toNanos(300);

  private final RandomGenerator random = new java.util.Random(7);

  /** A service whose servers have one outstanding request on average. */
  private static ServiceLoad service() {
    ServiceLoad load = new ServiceLoad();
    for (int i = 0; i < 200; i++) {
      load.recordSample(new LoadSample(1, 0, Servers.SLOTS, 1.75));
    }
    return load;
  }

  private static PlacementContext context(long now) {
    return Servers.context((double) EXPECTED, OBJECTIVE, Timeliness.IN_TIME, service(), now);
  }

  private String best(List<ServerState> servers, long now) {
    PlacementContext context = context(now);
    return Placement.rank(servers, context, random).getFirst().server().entry().id();
  }

  /** Effects of load samples. */
  public static final class Samples {
    private final PlacementTest outer = new PlacementTest();

    @Test
    public void aServerThatIsSlowAtTheMomentIsAvoided() {
      ServerState slow = Servers.reporting("slow", 0, 4, NOW);
      ServerState busy = Servers.reporting("busy", 3, 1, NOW);
      assertEquals(outer.best(List.of(slow, busy), NOW), "busy");
    }

    @Test
    public void aServerAboveItsKneeIsAvoided() {
      ServerState full = Servers.reporting("full", 6, 1, NOW);
      ServerState free = Servers.reporting("free", 3, 1, NOW);
      assertEquals(outer.best(List.of(full, free), NOW), "free");
    }

    /**
     * Guards against avoiding a server for longer than it is slow. Noisy neighbours come and go
     * within a few hundred milliseconds, so a sample of a slow moment must have no weight after two
     * seconds.
     */
    @Test
    public void anOldSampleOfASlowServerLosesItsWeight() {
      ServerState once = Servers.reporting("once-slow", 0, 4, NOW);
      long later = NOW + TimeUnit.SECONDS.toNanos(2);
      PlacementContext context = context(later);
      double usual = Placement.predictedNanos(Servers.reporting("x", 0, 1.75, later), context);
      assertEquals(Placement.predictedNanos(once, context) / usual, 1.0, 0.05);
    }
  }

  /** Effects of the outcomes of this instance's own requests. */
  public static final class OwnRequests {
    private final PlacementTest outer = new PlacementTest();

    /**
     * Guards against attracting requests by failing fast. The server fails half of its requests
     * while its health check succeeds; its answers are fast, so it appears idle.
     */
    @Test
    public void aServerThatFailsHalfOfItsRequestsIsAvoided() {
      ServerState grey = Servers.reporting("grey", 0, 1, NOW);
      ServerState busy = Servers.reporting("busy", 4, 1, NOW);
      for (int i = 0; i < 5; i++) {
        grey.recordFailure(NOW);
        grey.recordSuccess(1, NOW);
      }
      assertEquals(outer.best(List.of(grey, busy), NOW), "busy");
    }

    @Test
    public void aServerThatFailedIsTriedAgainLater() {
      ServerState failed = Servers.reporting("failed", 0, 1, NOW);
      failed.recordFailure(NOW);
      failed.recordFailure(NOW);
      long later = NOW + TimeUnit.SECONDS.toNanos(60);
      assertTrue(failed.failureShare(later) < 0.001);
    }

    @Test
    public void oneServerIsChosenEvenIfAllFail() {
      List<ServerState> servers = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        ServerState server = Servers.reporting("s" + i, 0, 1, NOW);
        for (int k = 0; k < 10; k++) {
          server.recordFailure(NOW);
        }
        servers.add(server);
      }
      assertTrue(outer.best(servers, NOW).startsWith("s"));
    }

    /**
     * Guards against preferring a server that is several times slower than its load samples show.
     * Only the latencies of own answers reveal it.
     */
    @Test
    public void aServerWithLongLatenciesIsAvoided() {
      ServerState slow = Servers.reporting("slow", 0, 1, NOW);
      ServerState usual = Servers.reporting("usual", 2, 1, NOW);
      for (int i = 0; i < 6; i++) {
        slow.recordSuccess(5, NOW);
        usual.recordSuccess(1, NOW);
      }
      assertEquals(outer.best(List.of(slow, usual), NOW), "usual");
    }
  }

  /** Whether a request may start on a server at all. */
  public static final class Starting {
    private static PlacementContext allowed(double usualMillis, long allowedMillis) {
      return Servers.context(
          usualMillis * 1e6,
          TimeUnit.MILLISECONDS.toNanos(allowedMillis),
          Timeliness.IN_TIME,
          service(),
          NOW);
    }

    @Test
    public void isDeniedOnACurrentlySlowServer() {
      ServerState slow = Servers.reporting("slow", 0, 5, NOW);
      assertFalse(Placement.expectedInTime(slow, allowed(160, 400)));
      assertTrue(Placement.expectedInTime(slow, allowed(160, 800)));
    }

    /**
     * Guards against refusing callers for seconds after the only server of a service was slow and
     * has recovered: if its own slow answers kept requests away, no answer could prove the
     * recovery.
     */
    @Test
    public void isAllowedWhereOwnAnswersWereSlow() {
      ServerState recovered = Servers.reporting("only", 0, 1, NOW);
      for (int i = 0; i < 10; i++) {
        recovered.recordSuccess(20, NOW);
      }
      assertTrue(Placement.expectedInTime(recovered, allowed(160, 400)));
    }

    /**
     * Guards against a usual latency that is never updated: it was learnt while all servers hung
     * and is longer than callers wait, and only further requests can correct it.
     */
    @Test
    public void isAllowedIfTheUsualLatencyExceedsTheAllowedTime() {
      assertTrue(
          Placement.expectedInTime(Servers.reporting("a", 0, 1, NOW), allowed(3_000, 1_200)));
    }
  }

  /** Effects of the servers' data centres. */
  public static final class DataCentres {
    private final PlacementTest outer = new PlacementTest();

    private ServerState remote(int running, double slowness) {
      ServerEntry entry = new ServerEntry("remote", 0, "s", "127.0.0.1", 1, "there", 6, false, 0);
      ServerState state = new ServerState(entry, NOW);
      state.recordSample(new LoadSample(running, 0, 6, slowness), 0, NOW);
      state.idleConnections(1);
      return state;
    }

    @Test
    public void theLocalServerIsPreferredIfBothAreGood() {
      ServerState local = Servers.reporting("near", 1, 1, NOW);
      assertEquals(outer.best(List.of(remote(1, 1), local), NOW), "near");
    }

    @Test
    public void aRemoteServerIsPreferredIfTheLocalOneIsSlow() {
      ServerState local = Servers.reporting("near", 1, 4, NOW);
      assertEquals(outer.best(List.of(remote(1, 1), local), NOW), "remote");
    }
  }
}
