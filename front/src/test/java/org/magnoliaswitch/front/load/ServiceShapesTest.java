package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.load.Placement.Ranked;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.version.ServerEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the decisions for services of very different shapes: one to sixty-four slots, work of five
 * milliseconds to five seconds, a single server. Requests must be placed while there is capacity,
 * wait only as long as they can be answered in time, and be told to retry when the situation can
 * have changed.
 */
public final class ServiceShapesTest {
  private static final long NOW = TimeUnit.SECONDS.toNanos(50);

  /** Objective as a multiple of the usual latency. */
  private static final int OBJECTIVE_FACTOR = 3;

  @DataProvider
  public Object[][] shapes() {
    List<Object[]> shapes = new ArrayList<>();
    for (int slots : new int[] {1, 2, 3, 6, 16, 64}) {
      for (long workMillis : new long[] {5, 160, 5_000}) {
        shapes.add(new Object[] {slots, TimeUnit.MILLISECONDS.toNanos(workMillis)});
      }
    }
    return shapes.toArray(Object[][]::new);
  }

  private static ServerState server(int slots, int running, double slowness) {
    ServerEntry entry = new ServerEntry("a", 0, "s", "127.0.0.1", 1, "here", slots, false, 0);
    ServerState state = new ServerState(entry, NOW);
    state.recordSample(new LoadSample(running, 0, slots, slowness), 0, NOW);
    state.idleConnections(1);
    return state;
  }

  private static ServerSelection.Step step(ServerState server, long work) {
    PlacementContext context =
        Servers.context(
            (double) work, OBJECTIVE_FACTOR * work, Timeliness.IN_TIME, new ServiceLoad(), NOW);
    List<Ranked> ranked = Placement.rank(List.of(server), context, new Random(1));
    return ServerSelection.next(ranked, context, 0, Optional.of(any -> true));
  }

  @Test(dataProvider = "shapes")
  public void anIdleServerGetsARequest(int slots, long work) {
    ServerState idle = server(slots, 0, 1);
    assertEquals(step(idle, work), new ServerSelection.Step.Send(idle));
  }

  @Test(dataProvider = "shapes")
  public void aFullServerGetsNone(int slots, long work) {
    assertTrue(step(server(slots, slots, 1), work) instanceof ServerSelection.Step.AllBusy);
  }

  @Test(dataProvider = "shapes")
  public void aServerTooSlowForTheObjectiveGetsNone(int slots, long work) {
    assertTrue(
        step(server(slots, 0, OBJECTIVE_FACTOR + 1), work) instanceof ServerSelection.Step.AllBusy);
  }

  /**
   * Leaving the last slots free must not waste the slots that a server runs without slowing down.
   */
  @Test(dataProvider = "shapes")
  public void atLeastHalfOfTheSlotsAreUsed(int slots, long work) {
    int running = 0;
    while (step(server(slots, running, 1), work) instanceof ServerSelection.Step.Send) {
      running++;
    }
    assertTrue(running >= 1 && 2 * running >= slots && running <= slots, running + " of " + slots);
  }

  @Test(dataProvider = "shapes")
  public void aRequestWaitsOnlyWhileItCanBeInTime(int slots, long work) {
    double limit =
        WaitLimit.nanos(
            Timeliness.IN_TIME,
            (double) work,
            OBJECTIVE_FACTOR * work,
            2 * OBJECTIVE_FACTOR * work);
    assertTrue(limit > 0 && limit + (double) work <= (double) (OBJECTIVE_FACTOR * work));
  }

  /**
   * Guards against retries long before a slot can be free, which are refused again, and long after.
   */
  @Test(dataProvider = "shapes")
  public void refusedCallersRetryWhenASlotMayBeFree(int slots, long work) {
    Random random = new Random(slots);
    for (int i = 0; i < 100; i++) {
      long busy = RetryAfter.nanos(RetryAfter.Cause.BUSY, (double) work, random, Mechanisms.ALL);
      assertTrue(busy >= work / 2 && busy <= 2 * work);
      long rejected =
          RetryAfter.nanos(RetryAfter.Cause.REJECTED, (double) work, random, Mechanisms.ALL);
      assertTrue(rejected <= work / 5);
    }
  }
}
