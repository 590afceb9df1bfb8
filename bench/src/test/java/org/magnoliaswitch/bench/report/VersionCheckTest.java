package org.magnoliaswitch.bench.report;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.magnoliaswitch.core.clock.HybridTimestamp;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.TimelineEvent;
import org.testng.annotations.Test;

/**
 * Verifies that the check of the configuration experiment detects versions that are reverted, and
 * does not report restarts or skipped versions as errors.
 */
public final class VersionCheckTest {
  private final List<TimelineEvent> events = new ArrayList<>();

  @Test
  public void reportsAnInstanceThatRevertsToALowerVersion() {
    events.clear();
    addEvent(1, "a", EventKind.VERSION_IN_FORCE, "version=2 change=x");
    addEvent(2, "a", EventKind.VERSION_IN_FORCE, "version=1 change=y");
    assertEquals(VersionCheck.of(events).reverted(), 1);
  }

  @Test
  public void allowsTheSameVersionAfterARestart() {
    events.clear();
    addEvent(1, "a", EventKind.VERSION_IN_FORCE, "version=2 change=x");
    addEvent(2, "a", EventKind.STARTED, "incarnation=b");
    addEvent(3, "a", EventKind.VERSION_IN_FORCE, "version=2 change=x");
    assertEquals(VersionCheck.of(events).reverted(), 0);
  }

  @Test
  public void measuresASkippedVersionFromItsOwnAcceptance() {
    events.clear();
    addEvent(1_000, "a", EventKind.VERSION_ACCEPTED, "version=1");
    addEvent(2_000, "a", EventKind.VERSION_ACCEPTED, "version=2");
    addEvent(5_000, "b", EventKind.VERSION_IN_FORCE, "version=2 change=x");
    assertEquals(VersionCheck.of(events).inForceSeconds(), List.of(4.0, 3.0));
  }

  private void addEvent(long millis, String instance, EventKind kind, String detail) {
    events.add(
        new TimelineEvent(new HybridTimestamp(millis, 0), instance, kind, "", "", "", detail));
  }
}
