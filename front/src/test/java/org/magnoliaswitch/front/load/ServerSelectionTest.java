package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
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

  /** A round of a search that probes two servers. */
  private static final int SECOND_ROUND = 1;

  private static final Optional<Predicate<ServerState>> ANY_SERVER = Optional.of(server -> true);

  /** A round number above the number of rounds in a search. */
  private static final int ROUND_AFTER_LAST = 9;

  private static ServerSelection.Step next(boolean probeable, ServerState... servers) {
    List<Ranked> ranked = Stream.of(servers).map(server -> new Ranked(server, 0, true)).toList();
    return ServerSelection.next(
        ranked, CONTEXT, SECOND_ROUND, probeable ? ANY_SERVER : Optional.empty());
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
    assertRounds(List.of(1, 2, 3), id -> Servers.reporting(id, 1, 1, OLD));
  }

  /** Guards against health checks whose answers are not needed: most servers are idle or full. */
  @Test
  public void onlyTheLastRoundProbesMoreThanOneServerWithTwoSlots() {
    assertRounds(List.of(1, 1, 2), ServerSelectionTest::twoSlots);
  }

  private static void assertRounds(List<Integer> probed, Function<String, ServerState> server) {
    List<Ranked> ranked =
        Stream.of("a", "b", "c", "d").map(id -> new Ranked(server.apply(id), 0, true)).toList();
    for (int round = 0; round < probed.size(); round++) {
      ServerSelection.Step step = ServerSelection.next(ranked, CONTEXT, round, ANY_SERVER);
      assertTrue(
          step instanceof ServerSelection.Step.Probe ask
              && ask.servers().size() == probed.get(round));
    }
    assertTrue(
        ServerSelection.next(ranked, CONTEXT, probed.size(), ANY_SERVER)
            instanceof ServerSelection.Step.Send);
  }

  private static ServerState twoSlots(String id) {
    ServerState server = Servers.reporting(id, 0, 1, OLD);
    server.recordSample(new LoadSample(0, 0, 2, 1), 0, OLD);
    return server;
  }

  /**
   * The servers that rank best have used up their probe budget. Guards against a search that
   * insists on them, learns nothing and sends the request to a server that was never probed.
   */
  @Test
  public void aTimelyRequestProbesOnlyServersThatCanBeProbed() {
    ServerState exhausted = twoSlots("a");
    ServerState probeable = twoSlots("b");
    assertEquals(
        firstStep(Timeliness.IN_TIME, exhausted, probeable),
        new ServerSelection.Step.Probe(List.of(probeable)));
  }

  /** Guards against a changed choice where servers have more slots, whose samples say more. */
  @Test
  public void aRequestForServersWithManySlotsProbesTheBestServers() {
    ServerState exhausted = Servers.reporting("a", 1, 1, OLD);
    ServerState probeable = Servers.reporting("b", 1, 1, OLD);
    assertEquals(
        firstStep(Timeliness.IN_TIME, exhausted, probeable),
        new ServerSelection.Step.Probe(List.of(exhausted)));
  }

  /** Guards against late requests that find the last capacity before timely ones do. */
  @Test
  public void aLateRequestDoesNotLookForServersThatCanBeProbed() {
    ServerState exhausted = twoSlots("a");
    ServerState probeable = twoSlots("b");
    assertEquals(
        firstStep(Timeliness.LATE, exhausted, probeable),
        new ServerSelection.Step.Probe(List.of(exhausted)));
  }

  private static ServerSelection.Step firstStep(
      Timeliness timeliness, ServerState exhausted, ServerState probeable) {
    List<Ranked> ranked = List.of(new Ranked(exhausted, 0, true), new Ranked(probeable, 1, true));
    return ServerSelection.next(
        ranked,
        Servers.context(timeliness, new ServiceLoad(), NOW),
        0,
        Optional.of(probeable::equals));
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
        ServerSelection.next(List.of(new Ranked(slow, 0, false)), CONTEXT, 0, Optional.empty());
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
        ServerSelection.next(ranked, CONTEXT, ROUND_AFTER_LAST, ANY_SERVER)
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
        ServerSelection.next(ranked, CONTEXT, ROUND_AFTER_LAST, ANY_SERVER),
        new ServerSelection.Step.Send(old));
  }

  @Test
  public void busyAndMissingServersAreDistinguished() {
    ServerState busy = Servers.reporting("a", 6, 1, NOW);
    assertTrue(next(true, busy) instanceof ServerSelection.Step.AllBusy);
    assertTrue(next(true) instanceof ServerSelection.Step.NoServer);
  }
}
