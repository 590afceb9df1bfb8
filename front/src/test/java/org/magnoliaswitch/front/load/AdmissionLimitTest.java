package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.testing.Servers;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Whether a server should get one more request. */
public final class AdmissionLimitTest {
  private static final long NOW = TimeUnit.SECONDS.toNanos(50);

  private static ServiceLoad service(int meanHeld) {
    ServiceLoad load = new ServiceLoad();
    for (int i = 0; i < 200; i++) {
      load.recordSample(new LoadSample(meanHeld, 0, Servers.SLOTS, 1));
    }
    return load;
  }

  private static boolean hasRoom(
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

  /** Six slots: in-time requests fill four of them, late ones three. */
  @Test(dataProvider = "loads")
  public void slotsAreFilledToTheKneeAndLateRequestsLeaveOneMore(
      int running, Timeliness timeliness, boolean room) {
    ServerState server = Servers.reporting("a", running, 1, NOW);
    assertEquals(hasRoom(server, service(running), timeliness, NOW), room);
  }

  /**
   * The server was idle when it was last heard of, a second ago, and since then the service has
   * filled up. Taking the old news for true would send it one request from each instance at once.
   */
  @Test
  public void oldNewsOfAnIdleServerDoNotCountOnABusyDay() {
    ServerState server = Servers.reporting("a", 0, 1, NOW);
    long later = NOW + TimeUnit.SECONDS.toNanos(1);
    assertEquals(hasRoom(server, service(5), Timeliness.IN_TIME, later), false);
    assertEquals(hasRoom(server, service(1), Timeliness.IN_TIME, later), true);
  }

  /**
   * All instances were killed and are back; their pools are empty and nobody knows a load. Every
   * caller returns in the same second. Each instance may have one request at a server until the
   * server has told its load; without the bound all slots and queues fill at once.
   */
  @Test
  public void aServerNotHeardOfYetGetsOneRequestAtATime() {
    ServerState server = new ServerState(Servers.entry("a", false), NOW);
    assertEquals(hasRoom(server, service(0), Timeliness.IN_TIME, NOW), true);
    server.requestStarted();
    assertEquals(hasRoom(server, service(0), Timeliness.IN_TIME, NOW), false);
  }

  @Test
  public void aServiceThatTellsNoLoadAlwaysHasRoom() {
    ServerState server = new ServerState(Servers.entry("a", false), NOW);
    server.requestStarted();
    ServiceLoad silent = new ServiceLoad();
    silent.markNotReporting();
    assertEquals(hasRoom(server, silent, Timeliness.LATE, NOW), true);
  }
}
