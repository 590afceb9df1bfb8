package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.magnoliaswitch.front.load.Placement.Ranked;
import org.magnoliaswitch.front.testing.Servers;
import org.testng.annotations.Test;

/** Tests when a ranking is reliable enough, and which servers are probed otherwise. */
public final class ServerSelectionTest {
  private static final long NOW = TimeUnit.SECONDS.toNanos(10);
  private static final long OLD = TimeUnit.SECONDS.toNanos(9);

  private static final PlacementContext CONTEXT =
      Servers.context(Timeliness.IN_TIME, new ServiceLoad(), NOW);

  /** A round number above the number of rounds in a search. */
  private static final int ROUND_AFTER_LAST = 9;

  private static ServerSelection.Step next(boolean probeable, ServerState... servers) {
    List<Ranked> ranked = Stream.of(servers).map(server -> new Ranked(server, 0, true)).toList();
    return ServerSelection.next(ranked, CONTEXT, 1, probeable);
  }

  @Test
  public void anUndisturbedServerWithAFreshSampleIsChosen() {
    ServerState fresh = Servers.reporting("a", 1, 1, NOW);
    assertEquals(next(true, fresh), new ServerSelection.Step.Send(fresh));
  }

  /**
   * The best-ranked server has a fresh sample that shows it is slow; the samples of the others are
   * old and may show a better state only for that reason, so they are probed, and the slow one is
   * not probed again.
   */
  @Test
  public void onlyServersWithOldSamplesAreProbed() {
    ServerState slow = Servers.reporting("a", 1, 4, NOW);
    ServerState old = Servers.reporting("b", 1, 1, OLD);
    ServerState other = Servers.reporting("c", 1, 1, OLD);
    assertEquals(next(true, slow, old, other), new ServerSelection.Step.Probe(List.of(old, other)));
  }

  /**
   * Guards against probing three servers before each request, which costs twice the health checks
   * for the same choice: most first choices are undisturbed and have capacity.
   */
  @Test
  public void eachRoundProbesOneServerMore() {
    List<Ranked> ranked =
        Stream.of("a", "b", "c", "d")
            .map(id -> new Ranked(Servers.reporting(id, 1, 1, OLD), 0, true))
            .toList();
    for (int round = 0; round < 3; round++) {
      ServerSelection.Step step = ServerSelection.next(ranked, CONTEXT, round, true);
      assertTrue(
          step instanceof ServerSelection.Step.Probe ask && ask.servers().size() == round + 1);
    }
    assertTrue(ServerSelection.next(ranked, CONTEXT, 3, true) instanceof ServerSelection.Step.Send);
  }

  /** Guards against health checks at a server that asked for fewer requests. */
  @Test
  public void aServerWithALimitIsChosenWithoutAProbe() {
    ServerState limited = Servers.reporting("a", 1, 1, OLD);
    ServerNotice notice = new ServerNotice(false, OptionalDouble.of(4.6), 0);
    limited.backpressure().recordAnswer(notice, OLD, OLD);
    assertEquals(next(true, limited), new ServerSelection.Step.Send(limited));
  }

  @Test
  public void aSlowServerIsChosenIfAllSamplesAreFresh() {
    ServerState slow = Servers.reporting("a", 1, 4, NOW);
    assertEquals(next(true, slow), new ServerSelection.Step.Send(slow));
  }

  /**
   * All servers with capacity are slowed down by noisy neighbours, and their answers would be late.
   * A request that starts there stays slow until it ends and occupies a slot that could serve five
   * others; the disturbance is gone after a moment, so the request waits in the queue.
   */
  @Test
  public void aRequestDoesNotStartWhereItsAnswerWouldBeLate() {
    ServerState slow = Servers.reporting("a", 1, 5, NOW);
    ServerSelection.Step step =
        ServerSelection.next(List.of(new Ranked(slow, 0, false)), CONTEXT, 0, false);
    assertTrue(step instanceof ServerSelection.Step.AllBusy);
  }

  @Test
  public void noServerIsProbedIfProbesAreNotPossible() {
    ServerState old = Servers.reporting("b", 1, 1, OLD);
    assertEquals(next(false, old), new ServerSelection.Step.Send(old));
  }

  /**
   * Load is high, and the probed servers are full. A server that was not probed appears idle only
   * because its sample is old; a request sent there would queue or be rejected. It waits at this
   * instance and triggers further probes instead.
   */
  @Test
  public void anUnprobedServerIsNotChosenIfTheProbedOnesAreFull() {
    ServerState full = Servers.reporting("a", 6, 1, NOW);
    ServerState old = Servers.reporting("b", 0, 1, OLD);
    List<Ranked> ranked = List.of(new Ranked(full, 0, true), new Ranked(old, 1, true));
    assertTrue(
        ServerSelection.next(ranked, CONTEXT, ROUND_AFTER_LAST, true)
            instanceof ServerSelection.Step.AllBusy);
  }

  /**
   * If no server answered the probes in time, using the best-ranked server is better than refusing
   * all requests.
   */
  @Test
  public void withoutAnyAnswerTheBestRankedServerIsChosen() {
    ServerState old = Servers.reporting("b", 0, 1, OLD);
    List<Ranked> ranked = List.of(new Ranked(old, 1, true));
    assertEquals(
        ServerSelection.next(ranked, CONTEXT, ROUND_AFTER_LAST, true),
        new ServerSelection.Step.Send(old));
  }

  @Test
  public void busyAndMissingServersAreDistinguished() {
    ServerState busy = Servers.reporting("a", 6, 1, NOW);
    assertTrue(next(true, busy) instanceof ServerSelection.Step.AllBusy);
    assertTrue(next(true) instanceof ServerSelection.Step.NoServer);
  }
}
