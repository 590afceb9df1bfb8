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

/** Which server a request goes to. */
public final class PlacementTest {
  private static final long NOW = TimeUnit.SECONDS.toNanos(100);
  private static final long EXPECTED = TimeUnit.MILLISECONDS.toNanos(120);
  private static final long OBJECTIVE = TimeUnit.MILLISECONDS.toNanos(300);

  private final RandomGenerator random = new java.util.Random(7);

  /** A service whose servers hold one request on average. */
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

  /** What load samples say of the moment. */
  public static final class Samples {
    private final PlacementTest outer = new PlacementTest();

    @Test
    public void aServerThatIsSlowAtTheMomentIsPassedBy() {
      ServerState slow = Servers.reporting("slow", 0, 4, NOW);
      ServerState busy = Servers.reporting("busy", 3, 1, NOW);
      assertEquals(outer.best(List.of(slow, busy), NOW), "busy");
    }

    @Test
    public void aServerAboveItsKneeIsPassedBy() {
      ServerState full = Servers.reporting("full", 6, 1, NOW);
      ServerState free = Servers.reporting("free", 3, 1, NOW);
      assertEquals(outer.best(List.of(full, free), NOW), "free");
    }

    /**
     * A sample of a slow moment is old news after a second: neighbours come and go within a few
     * hundred milliseconds, and a server avoided for longer would be lost for nothing.
     */
    @Test
    public void anOldSampleOfASlowMomentFades() {
      ServerState once = Servers.reporting("once-slow", 0, 4, NOW);
      long later = NOW + TimeUnit.SECONDS.toNanos(2);
      PlacementContext context = context(later);
      double usual = Placement.predictedNanos(Servers.reporting("x", 0, 1.75, later), context);
      assertEquals(Placement.predictedNanos(once, context) / usual, 1.0, 0.05);
    }
  }

  /** What this instance's own requests met. */
  public static final class OwnRequests {
    private final PlacementTest outer = new PlacementTest();

    /**
     * A server fails half its requests while its health check is good. Its answers come fast, so it
     * looks idle; without the memory of failures it would draw ever more requests.
     */
    @Test
    public void aServerThatFailsHalfIsPassedBy() {
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
    public void whenAllFailOneIsStillChosen() {
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
     * A server is several times slower than its load tells. Only the latencies of own answers show
     * it, and it must lose against one whose report is no better.
     */
    @Test
    public void aServerWithLongLatenciesIsPassedBy() {
      ServerState slow = Servers.reporting("slow", 0, 1, NOW);
      ServerState usual = Servers.reporting("usual", 2, 1, NOW);
      for (int i = 0; i < 6; i++) {
        slow.recordSuccess(5, NOW);
        usual.recordSuccess(1, NOW);
      }
      assertEquals(outer.best(List.of(slow, usual), NOW), "usual");
    }
  }

  /** Whether a request starts on a server at all. */
  public static final class Starts {
    private static PlacementContext allowed(double usualMillis, long allowedMillis) {
      return Servers.context(
          usualMillis * 1e6,
          TimeUnit.MILLISECONDS.toNanos(allowedMillis),
          Timeliness.IN_TIME,
          service(),
          NOW);
    }

    @Test
    public void notWhereAnAnswerWouldBeLateBecauseOfTheMoment() {
      ServerState slow = Servers.reporting("slow", 0, 5, NOW);
      assertFalse(Placement.expectedInTime(slow, allowed(160, 400)));
      assertTrue(Placement.expectedInTime(slow, allowed(160, 800)));
    }

    /**
     * The only server of a service was slow for some answers and is well again. If its own past
     * kept requests away, no answer could ever show it, and callers were refused for seconds.
     */
    @Test
    public void alsoWhereOwnAnswersWereSlowLately() {
      ServerState recovered = Servers.reporting("only", 0, 1, NOW);
      for (int i = 0; i < 10; i++) {
        recovered.recordSuccess(20, NOW);
      }
      assertTrue(Placement.expectedInTime(recovered, allowed(160, 400)));
    }

    /**
     * The usual latency was learnt while all servers hung and is longer than callers wait. Without
     * requests it would never be learnt anew.
     */
    @Test
    public void alsoWhereNothingSeemsToBeInTime() {
      assertTrue(
          Placement.expectedInTime(Servers.reporting("a", 0, 1, NOW), allowed(3_000, 1_200)));
    }
  }

  /** Where servers are. */
  public static final class Places {
    private final PlacementTest outer = new PlacementTest();

    private ServerState remote(int running, double slowness) {
      ServerEntry entry = new ServerEntry("remote", 0, "s", "127.0.0.1", 1, "there", 6, false, 0);
      ServerState state = new ServerState(entry, NOW);
      state.recordSample(new LoadSample(running, 0, 6, slowness), 0, NOW);
      state.idleConnections(1);
      return state;
    }

    @Test
    public void theNearOneIsTakenWhenBothAreGood() {
      ServerState near = Servers.reporting("near", 1, 1, NOW);
      assertEquals(outer.best(List.of(remote(1, 1), near), NOW), "near");
    }

    @Test
    public void theFarOneIsTakenWhenTheNearOneIsSlow() {
      ServerState near = Servers.reporting("near", 1, 4, NOW);
      assertEquals(outer.best(List.of(remote(1, 1), near), NOW), "remote");
    }
  }
}
