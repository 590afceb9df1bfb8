package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how many requests one instance sends to a cold server. */
public final class ColdServerQuotasTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SPAN = 3 * SECOND;

  /** Requests per second of one of two instances. */
  private static final int SHARE = 3;

  private ManualClock time;
  private InstanceCount instances;
  private ColdServerQuotas coldServers;
  private ServerState server;

  /**
   * Sets up two instances and a server that can handle six requests per second while it is cold.
   */
  @BeforeMethod
  public void createQuotas() {
    time = new ManualClock();
    instances = new InstanceCount(2, time.clocks());
    coldServers = quotas(new Warmup(SPAN, 2 * SHARE));
    server = new ServerState(Servers.entry("a", false), time.read());
  }

  private ColdServerQuotas quotas(Warmup warmup) {
    RouteTable routes =
        new RouteTable(
            1,
            List.of(),
            List.of(new ServicePolicy("s", "/health", 9, warmup)),
            CallerLimits.DEFAULT);
    return new ColdServerQuotas(
        TestEnvironment.settings(), time.clocks(), new AtomicReference<>(routes), instances);
  }

  private int sendAll(long spanNanos) {
    int sent = 0;
    for (long passed = 0; passed < spanNanos; passed += MILLI) {
      if (coldServers.allowed(server)) {
        server.recordWrite(time.read());
        sent++;
      }
      time.advance(MILLI);
    }
    return sent;
  }

  /**
   * Guards against a cold server that crashes under the queued requests of all instances: in any
   * second it may receive no more than this instance's share.
   */
  @Test
  public void coldServerReceivesNoMoreThanShareInOneSecond() {
    time.advance(10 * SECOND);
    server.assumeCold(SPAN, time.read());
    assertEquals(sendAll(SECOND), SHARE);
    assertEquals(sendAll(SECOND), SHARE);
  }

  /**
   * Guards against a burst when a server becomes cold: requests sent before this was known count
   * towards the share.
   */
  @Test
  public void requestsSentBeforeServerBecameColdCount() {
    time.advance(10 * SECOND);
    server.recordWrite(time.read());
    server.recordWrite(time.read());
    server.assumeCold(SPAN, time.read());
    assertEquals(sendAll(SECOND), SHARE - 2);
  }

  @Test
  public void warmServerReceivesAllRequests() {
    assertEquals(sendAll(SECOND), SECOND / MILLI);
  }

  /**
   * Guards against shares that are far too large when all instances start at once and each knows
   * only a few others: until the count has settled, none sends to a cold server.
   */
  @Test
  public void coldServerReceivesNothingRightAfterStart() {
    server.assumeCold(SPAN, time.read());
    assertFalse(coldServers.allowed(server));
    time.advance(2 * SECOND);
    assertTrue(coldServers.allowed(server));
  }

  /** Guards against a cached share that is too large once other instances have joined. */
  @Test
  public void shareFollowsNumberOfInstances() {
    time.advance(10 * SECOND);
    server.assumeCold(SPAN, time.read());
    assertEquals(sendAll(SECOND), SHARE);
    instances.update(2 * SHARE);
    assertEquals(sendAll(SECOND), 1);
  }

  /**
   * Servers of a service without declared warm-up limits can handle requests as soon as they have
   * started.
   */
  @Test
  public void requestsAreUnlimitedWithoutDeclaration() {
    coldServers = quotas(Warmup.UNLIMITED);
    server.assumeCold(SPAN, time.read());
    assertTrue(coldServers.allowed(server));
  }

  /** A server at whose address no process listens has crashed, and its next process starts cold. */
  @Test
  public void unreachableServerCountsAsCold() {
    time.advance(10 * SECOND);
    coldServers.assumeCold(server);
    assertTrue(server.cold(time.read()));
    server.recordWarmup(0, time.read());
    assertFalse(server.cold(time.read()));
  }

  /**
   * Guards against an outdated discovery entry that ends a warm-up which began after it was
   * written.
   */
  @Test
  public void discoveryEntryDoesNotEndWarmup() {
    server.recordWarmup(SPAN, time.read());
    server.update(Servers.entry("a", false), time.read());
    assertTrue(server.cold(time.read()));
  }
}
