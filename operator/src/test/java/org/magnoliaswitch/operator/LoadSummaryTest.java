package org.magnoliaswitch.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Checks the summary of requests and slot time computed from logs. */
public final class LoadSummaryTest {
  private static final String LINE_START = "time=2026-03-02T10:00:00Z level=INFO ";

  private static List<TimelineEntry> events(String... lines) {
    return Stream.of(lines).map(line -> LogReader.parse(line, "x").orElseThrow()).toList();
  }

  /**
   * One request is answered in time, one late by a disturbed server, one in time after a second
   * attempt, and one is rejected. The slot time of the first attempt of the third request is
   * unused.
   */
  @Test
  public void requestsAndSlotTimeAreCountedPerServiceAndSecond() {
    List<TimelineEntry> events =
        events(
            "1.0000 a " + LINE_START + "event=send request=r1 server=s1 slowness=1.00",
            "1.0000 a " + LINE_START + "event=send request=r2 server=s2 slowness=5.00",
            "1.1000 a "
                + LINE_START
                + "event=end request=r1 service=s outcome=answered objective_left_ms=9",
            "1.1000 b " + LINE_START + "event=send request=r3 server=s1 slowness=1.00",
            "1.2000 b " + LINE_START + "event=send request=r3 server=s2 slowness=1.00",
            "1.3000 b "
                + LINE_START
                + "event=end request=r3 service=s outcome=answered objective_left_ms=1",
            "1.4000 a "
                + LINE_START
                + "event=end request=r2 service=s outcome=answered objective_left_ms=-4",
            "1.5000 a "
                + LINE_START
                + "event=end request=r4 service=s outcome=no_room objective_left_ms=0");
    String[] lines = LoadSummary.of(events).text().split("\n", -1);
    assertEquals(
        lines[0],
        "service=s second=1 requests=4 in_time=2 late=1 left=0 further_sends=1 slot_ms=267"
            + " undisturbed_ms=100 unused=0.25 unserved={no_room=1}");
    assertTrue(lines[1].startsWith("service=s second=all requests=4"));
  }

  @Test
  public void pageHasABarForEachSecond() {
    List<TimelineEntry> events =
        events(
            "1.0000 a " + LINE_START + "event=end request=r service=s outcome=caller_left",
            "2.0000 a " + LINE_START + "event=end request=q service=s outcome=answered");
    String page = LoadSummary.of(events).html();
    assertEquals(page.split("<g>", -1).length - 1, 2);
  }
}
