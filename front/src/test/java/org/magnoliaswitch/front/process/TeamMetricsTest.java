package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.QuotaAllocator;
import org.magnoliaswitch.front.load.QuotaBounds;
import org.magnoliaswitch.front.peer.TeamNews;
import org.magnoliaswitch.front.version.ApiKey;
import org.magnoliaswitch.front.version.Quota;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamTable;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

/** Tests the log lines and gauges about states of teams. */
public final class TeamMetricsTest {
  private static final String KEY = "0123456789abcdef";

  /** Guards against lines that repeat while nothing changes, and against keys in them. */
  @Test
  public void eachChangeOfStateIsLoggedOnce() {
    Clocks clocks = Clocks.system();
    FrontMetrics metrics = new FrontMetrics();
    TeamMetrics teamMetrics = new TeamMetrics(new EventLog(clocks), metrics, clocks);
    QuotaAllocator allocator =
        new QuotaAllocator(
            new QuotaBounds(TimeUnit.SECONDS.toNanos(5), 0, 0), List.of("a"), 0, new Random(1));
    Team team = new Team("t", Set.of(new ApiKey(KEY)), new Quota(10, 10), 0);
    allocator.configure(new TeamTable(List.of(team)), clocks.nanos());
    TeamNews.States closed = new TeamNews.States(Set.of("t"), Set.of("t"));
    Logger logger = (Logger) LoggerFactory.getLogger(EventLog.class);
    ListAppender<ILoggingEvent> appender = new ListAppender<>();
    appender.start();
    logger.addAppender(appender);
    try {
      teamMetrics.changed(closed, allocator);
      teamMetrics.changed(closed, allocator);
      assertTrue(metrics.scrape().contains("magnolia_teams_closed 1.0"), metrics.scrape());
      teamMetrics.changed(TeamNews.States.NONE, allocator);
    } finally {
      logger.detachAppender(appender);
    }
    List<String> lines =
        appender.list.stream()
            .map(ILoggingEvent::getFormattedMessage)
            .filter(text -> text.startsWith("event=team_"))
            .toList();
    assertEquals(
        lines.stream().map(text -> text.split(" ", 2)[0]).toList(),
        List.of(
            "event=team_closed",
            "event=team_over_demand",
            "event=team_opened",
            "event=team_within_rate"));
    assertTrue(
        lines.getFirst().contains(" team=t rate_per_s=10.00 demand_per_s=0.00 tokens="),
        lines.getFirst());
    assertTrue(lines.stream().noneMatch(text -> text.contains(KEY)));
  }
}
