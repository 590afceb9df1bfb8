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

/** When a ranking is good enough, and whom to ask otherwise. */
public final class ServerSelectionTest {
  private static final long NOW = TimeUnit.SECONDS.toNanos(10);
  private static final long LONG_AGO = TimeUnit.SECONDS.toNanos(9);

  private static final PlacementContext CONTEXT =
      Servers.context(Timeliness.IN_TIME, new ServiceLoad(), NOW);

  /** More rounds than a search has. */
  private static final int LAST_ROUND = 9;

  private static ServerSelection.Step next(boolean askable, ServerState... servers) {
    List<Ranked> ranked = Stream.of(servers).map(server -> new Ranked(server, 0, true)).toList();
    return ServerSelection.next(ranked, CONTEXT, 1, askable);
  }

  @Test
  public void anUndisturbedServerHeardOfJustNowIsTaken() {
    ServerState fresh = Servers.reporting("a", 1, 1, NOW);
    assertEquals(next(true, fresh), new ServerSelection.Step.Send(fresh));
  }

  /**
   * The best-ranked server has just said that it is slow, and the others were heard of long ago.
   * They may look better only because nothing is known, so they are asked, and the slow one is not
   * again.
   */
  @Test
  public void onlyServersWithOldNewsAreAsked() {
    ServerState slow = Servers.reporting("a", 1, 4, NOW);
    ServerState old = Servers.reporting("b", 1, 1, LONG_AGO);
    ServerState other = Servers.reporting("c", 1, 1, LONG_AGO);
    assertEquals(next(true, slow, old, other), new ServerSelection.Step.Probe(List.of(old, other)));
  }

  /**
   * Most first choices are undisturbed and have room. Asking three servers at once before each
   * request spent twice the health checks for the same choice.
   */
  @Test
  public void oneServerIsAskedFirstAndMoreOnlyAfterwards() {
    List<Ranked> ranked =
        Stream.of("a", "b", "c", "d")
            .map(id -> new Ranked(Servers.reporting(id, 1, 1, LONG_AGO), 0, true))
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
  public void aServerWithALimitIsTakenWithoutAsking() {
    ServerState limited = Servers.reporting("a", 1, 1, LONG_AGO);
    ServerNotice notice = new ServerNotice(false, OptionalDouble.of(4.6), 0);
    limited.backpressure().recordAnswer(notice, LONG_AGO, LONG_AGO);
    assertEquals(next(true, limited), new ServerSelection.Step.Send(limited));
  }

  @Test
  public void aSlowServerIsTakenWhenAllHaveJustSaidSo() {
    ServerState slow = Servers.reporting("a", 1, 4, NOW);
    assertEquals(next(true, slow), new ServerSelection.Step.Send(slow));
  }

  /**
   * All servers with room are slowed down by neighbours, and an answer of theirs would come too
   * late. Started there all the same, a request was slow to its end and kept a slot that would have
   * served five others; a neighbour is gone after a moment, so the request waits in line.
   */
  @Test
  public void aRequestDoesNotStartWhereItsAnswerWouldBeLate() {
    ServerState slow = Servers.reporting("a", 1, 5, NOW);
    ServerSelection.Step step =
        ServerSelection.next(List.of(new Ranked(slow, 0, false)), CONTEXT, 0, false);
    assertTrue(step instanceof ServerSelection.Step.AllBusy);
  }

  @Test
  public void afterTheLastRoundNobodyIsAsked() {
    ServerState old = Servers.reporting("b", 1, 1, LONG_AGO);
    assertEquals(next(false, old), new ServerSelection.Step.Send(old));
  }

  /**
   * Callers press, and the servers that were asked have just said that they are full. One that was
   * not asked only looks idle from long ago; sent there, the request would wait behind others or be
   * rejected. It waits here and asks again instead.
   */
  @Test
  public void aServerThatWasNotAskedIsNotTakenWhenThoseAskedAreFull() {
    ServerState full = Servers.reporting("a", 6, 1, NOW);
    ServerState old = Servers.reporting("b", 0, 1, LONG_AGO);
    List<Ranked> ranked = List.of(new Ranked(full, 0, true), new Ranked(old, 1, true));
    assertTrue(
        ServerSelection.next(ranked, CONTEXT, LAST_ROUND, true)
            instanceof ServerSelection.Step.AllBusy);
  }

  /** No server answered in time: a guess is better than refusing everybody. */
  @Test
  public void withoutAnyAnswerTheBestGuessIsTaken() {
    ServerState old = Servers.reporting("b", 0, 1, LONG_AGO);
    List<Ranked> ranked = List.of(new Ranked(old, 1, true));
    assertEquals(
        ServerSelection.next(ranked, CONTEXT, LAST_ROUND, true),
        new ServerSelection.Step.Send(old));
  }

  @Test
  public void busyServersAndNoServersAreToldApart() {
    ServerState busy = Servers.reporting("a", 6, 1, NOW);
    assertTrue(next(true, busy) instanceof ServerSelection.Step.AllBusy);
    assertTrue(next(true) instanceof ServerSelection.Step.NoServer);
  }
}
