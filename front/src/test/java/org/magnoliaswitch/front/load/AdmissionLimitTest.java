package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.testing.Servers;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests whether a server may receive one more request. */
public final class AdmissionLimitTest {
  private static final long NOW = TimeUnit.SECONDS.toNanos(50);

  private static ServiceLoad service(int meanOutstanding) {
    ServiceLoad load = new ServiceLoad();
    for (int i = 0; i < 200; i++) {
      load.recordSample(new LoadSample(meanOutstanding, 0, Servers.SLOTS, 1));
    }
    return load;
  }

  private static boolean hasCapacity(
      ServerState server, ServiceLoad service, Timeliness timeliness, long nowNanos) {
    return AdmissionLimit.hasCapacity(server, Servers.context(timeliness, service, nowNanos));
  }

  @DataProvider
  public Object[][] loads() {
    return new Object[][] {
      {0, Timeliness.IN_TIME, true},
      {3, Timeliness.IN_TIME, true},
      {4, Timeliness.IN_TIME, false},
      {6, Timeliness.IN_TIME, false},
      {2, Timeliness.LATE, true},
      {3, Timeliness.LATE, false},
    };
  }

  /** With six slots, timely requests fill four of them and late requests three. */
  @Test(dataProvider = "loads")
  public void slotsAreFilledUpToTheKneeAndLateRequestsLeaveOneMoreFree(
      int running, Timeliness timeliness, boolean capacity) {
    ServerState server = Servers.reporting("a", running, 1, NOW);
    assertEquals(hasCapacity(server, service(running), timeliness, NOW), capacity);
  }

  /**
   * Guards against trusting an old sample. The server was idle in its last sample, a second ago,
   * and the service has become busy since; every instance would send it a request at once.
   */
  @Test
  public void anOldSampleOfAnIdleServerIsIgnoredUnderHighLoad() {
    ServerState server = Servers.reporting("a", 0, 1, NOW);
    long later = NOW + TimeUnit.SECONDS.toNanos(1);
    assertEquals(hasCapacity(server, service(5), Timeliness.IN_TIME, later), false);
    assertEquals(hasCapacity(server, service(1), Timeliness.IN_TIME, later), true);
  }

  /**
   * Guards against filling all slots and queues after a restart of all instances. Their connection
   * pools are empty, no load is known, and all callers retry in the same second. Each instance may
   * have one request at a server until the server has reported its load.
   */
  @Test
  public void aServerWithoutASampleGetsOneRequestAtATime() {
    ServerState server = new ServerState(Servers.entry("a", false), NOW);
    assertEquals(hasCapacity(server, service(0), Timeliness.IN_TIME, NOW), true);
    server.requestStarted();
    assertEquals(hasCapacity(server, service(0), Timeliness.IN_TIME, NOW), false);
  }

  @Test
  public void aServiceThatReportsNoLoadAlwaysHasCapacity() {
    ServerState server = new ServerState(Servers.entry("a", false), NOW);
    server.requestStarted();
    ServiceLoad silent = new ServiceLoad();
    silent.markNotReporting();
    assertEquals(hasCapacity(server, silent, Timeliness.LATE, NOW), true);
  }
}
