package org.magnoliaswitch.bench.report;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.magnoliaswitch.core.clock.HybridTimestamp;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.TimelineEvent;
import org.testng.annotations.Test;

/** The check of the configuration experiment must be able to fail. */
public final class VersionCheckTest {
  private final List<TimelineEvent> events = new ArrayList<>();

  @Test
  public void findsAnInstanceThatReverts() {
    events.clear();
    event(1, "a", EventKind.VERSION_IN_FORCE, "version=2 change=x");
    event(2, "a", EventKind.VERSION_IN_FORCE, "version=1 change=y");
    assertEquals(VersionCheck.of(events).reverted(), 1);
  }

  @Test
  public void aRestartedInstanceBeginsAnew() {
    events.clear();
    event(1, "a", EventKind.VERSION_IN_FORCE, "version=2 change=x");
    event(2, "a", EventKind.STARTED, "incarnation=b");
    event(3, "a", EventKind.VERSION_IN_FORCE, "version=2 change=x");
    assertEquals(VersionCheck.of(events).reverted(), 0);
  }

  @Test
  public void countsASkippedVersionFromItsOwnAcceptance() {
    events.clear();
    event(1_000, "a", EventKind.VERSION_ACCEPTED, "version=1");
    event(2_000, "a", EventKind.VERSION_ACCEPTED, "version=2");
    event(5_000, "b", EventKind.VERSION_IN_FORCE, "version=2 change=x");
    assertEquals(VersionCheck.of(events).inForceSeconds(), List.of(4.0, 3.0));
  }

  private void event(long millis, String instance, EventKind kind, String detail) {
    events.add(
        new TimelineEvent(new HybridTimestamp(millis, 0), instance, kind, "", "", "", detail));
  }
}
