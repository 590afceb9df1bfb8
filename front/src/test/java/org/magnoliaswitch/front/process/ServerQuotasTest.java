package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.RouteTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how many requests one instance sends to servers that ask for fewer. */
public final class ServerQuotasTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** Longer than an instance needs to find the others. */
  private static final long SETTLED = 10 * SECOND;

  private ManualClock time;
  private InstanceCount instances;
  private ServerQuotas quotas;
  private ServerState server;

  /** Sets up two instances that both send to all servers. */
  @BeforeMethod
  public void createQuotas() {
    time = new ManualClock();
    instances = new InstanceCount(2, time.clocks());
    FrontSettings settings = TestEnvironment.settings();
    AtomicReference<RouteTable> routes = new AtomicReference<>(RouteTable.EMPTY);
    ColdServerQuotas coldServers = new ColdServerQuotas(settings, time.clocks(), routes, instances);
    quotas = new ServerQuotas(settings, time.clocks(), instances, coldServers, service -> 1);
    server = new ServerState(Servers.entry("a", false), time.read());
  }

  private void limit(double perSecond) {
    ServerNotice notice = new ServerNotice(false, OptionalDouble.of(perSecond), 0);
    server.backpressure().recordAnswer(notice, time.read(), time.read());
  }

  private int sendAll(long spanNanos) {
    int sent = 0;
    for (long passed = 0; passed < spanNanos; passed += MILLI) {
      if (quotas.allowed(server)) {
        server.recordWrite(time.read());
        sent++;
      }
      time.advance(MILLI);
    }
    return sent;
  }

  /**
   * Guards against an overloaded server that receives all requests of callers in spite of its
   * limit.
   */
  @Test
  public void limitedServerReceivesShareOfSpan() {
    time.advance(SETTLED);
    limit(3);
    assertEquals(sendAll(4 * SECOND), 6);
    assertEquals(sendAll(4 * SECOND), 6);
  }

  /** Guards against a burst when the limit becomes known. */
  @Test
  public void requestsSentBeforeLimitCount() {
    time.advance(SETTLED);
    for (int i = 0; i < 5; i++) {
      server.recordWrite(time.read());
    }
    limit(3);
    assertEquals(sendAll(4 * SECOND), 1);
  }

  @Test
  public void serverReceivesAllRequestsAfterLimitIsLifted() {
    time.advance(SETTLED);
    limit(3);
    time.advance(SECOND);
    server.backpressure().recordAnswer(ServerNotice.NONE, time.read(), time.read());
    assertEquals(sendAll(SECOND), SECOND / MILLI);
  }

  /** Guards against shares that are too large while an instance knows only a few others. */
  @Test
  public void limitedServerReceivesNothingRightAfterStart() {
    limit(3);
    assertFalse(quotas.allowed(server));
    assertTrue(quotas.waitNanos(server) > 0);
    time.advance(2 * SECOND);
    assertTrue(quotas.allowed(server));
  }

  /**
   * Guards against queueing requests for a server that accepts nothing before their callers give
   * up.
   */
  @Test
  public void returnsTimeUntilServerAcceptsRequest() {
    time.advance(SETTLED);
    limit(0.5);
    assertEquals(sendAll(SECOND), 1);
    assertTrue(quotas.waitNanos(server) > 2 * SECOND);
  }

  /**
   * Guards against an instance without a share that never notices that the limit has been lifted.
   */
  @Test
  public void unconfirmedLimitIsTestedWithOneRequest() {
    instances.update(100);
    instances.updateIndex(indexWithoutShare());
    time.advance(SETTLED);
    limit(0.5);
    assertEquals(sendAll(20 * SECOND), 0);
    assertEquals(sendAll(12 * SECOND), 1);
  }

  private void pause(long nanos) {
    ServerNotice notice = new ServerNotice(false, OptionalDouble.empty(), nanos);
    server.backpressure().recordAnswer(notice, time.read(), time.read());
  }

  /** Guards against requests to a server that has asked for a pause. */
  @Test
  public void serverReceivesNothingDuringPause() {
    time.advance(SETTLED);
    pause(3 * SECOND);
    assertEquals(quotas.waitNanos(server), 3 * SECOND);
    assertEquals(sendAll(3 * SECOND), 0);
    assertTrue(quotas.allowed(server));
  }

  /** Guards against a pause that is shortened by the response to a request in progress. */
  @Test
  public void longestPauseCounts() {
    time.advance(SETTLED);
    pause(3 * SECOND);
    time.advance(SECOND);
    pause(SECOND);
    server.backpressure().recordAnswer(ServerNotice.NONE, time.read(), time.read());
    assertEquals(quotas.waitNanos(server), 2 * SECOND);
  }

  private InstanceIndex indexWithoutShare() {
    for (int index = 0; index < 100; index++) {
      InstanceIndex candidate = new InstanceIndex(index, 100);
      if (!candidate.selected(server.entry().incarnation(), 3)) {
        return candidate;
      }
    }
    throw new AssertionError("all have a share");
  }
}
