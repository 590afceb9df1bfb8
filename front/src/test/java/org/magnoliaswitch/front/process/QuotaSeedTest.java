package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.peer.TeamNews;
import org.magnoliaswitch.front.peer.TeamReport;
import org.magnoliaswitch.front.version.Quota;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamTable;
import org.testng.annotations.Test;

/** Tests what a seed tells its listeners about teams. */
public final class QuotaSeedTest {
  /** Guards against a start with a burst: teams whose bucket is empty must not be called open. */
  @Test
  public void firstMessageAfterTheStartNamesClosedTeams() {
    Loop loop = Loop.start();
    Clocks clocks = Clocks.system();
    QuotaSeed seed =
        new QuotaSeed(
            TeamBounds.DEFAULT,
            List.of("seed"),
            0,
            new ConfigurationConfirmation(clocks),
            clocks,
            loop,
            new Random(1),
            listeners -> {});
    Team team = new Team("spent", Set.of(), new Quota(1e-6, 1), 0);
    CompletableFuture<Optional<TeamNews>> first = new CompletableFuture<>();
    loop.execute(
        () -> {
          seed.configure(new TeamTable(List.of(team)));
          seed.reported(1, new TeamReport(1, 0, List.of()));
          first.complete(seed.nextNews(1));
        });
    assertEquals(
        first.join().flatMap(TeamNews::states).map(TeamNews.States::closed),
        Optional.of(Set.of("spent")));
    loop.stop();
  }
}
