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

/** What one instance sends to a server that is cold. */
public final class ColdServerQuotasTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SPAN = 3 * SECOND;

  /** Of an instance that shares with one other. */
  private static final int SHARE = 3;

  private ManualClock time;
  private InstanceCount instances;
  private ColdServerQuotas coldServers;
  private ServerState server;

  /** A server that bears six requests a second while it is cold, and two instances. */
  @BeforeMethod
  public void start() {
    time = new ManualClock();
    instances = new InstanceCount(2, time.clocks());
    coldServers = sends(new Warmup(SPAN, 2 * SHARE));
    server = new ServerState(Servers.entry("a", false), time.read());
  }

  private ColdServerQuotas sends(Warmup warmup) {
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
   * A server comes back cold while callers wait in line here. It must get no more than this
   * instance's share in any second, or it ends under what all of them send.
   */
  @Test
  public void aColdServerGetsNoMoreThanTheShareInASecond() {
    time.advance(10 * SECOND);
    server.assumeCold(SPAN, time.read());
    assertEquals(sendAll(SECOND), SHARE);
    assertEquals(sendAll(SECOND), SHARE);
  }

  /** It has cooled a moment ago: what it got before this was known counts as well. */
  @Test
  public void whatWasSentBeforeItCooledCounts() {
    time.advance(10 * SECOND);
    server.recordWrite(time.read());
    server.recordWrite(time.read());
    server.assumeCold(SPAN, time.read());
    assertEquals(sendAll(SECOND), SHARE - 2);
  }

  @Test
  public void aWarmServerGetsAll() {
    assertEquals(sendAll(SECOND), SECOND / MILLI);
  }

  /**
   * All instances start at once, each knows of few others, and their callers return together. Each
   * would take far too large a share of a cold server, so none takes any yet.
   */
  @Test
  public void rightAfterTheStartAColdServerGetsNothing() {
    server.assumeCold(SPAN, time.read());
    assertFalse(coldServers.allowed(server));
    time.advance(2 * SECOND);
    assertTrue(coldServers.allowed(server));
  }

  /** Others have joined, and the share that was worked out before would be too large now. */
  @Test
  public void aShareFollowsTheNumberOfInstances() {
    time.advance(10 * SECOND);
    server.assumeCold(SPAN, time.read());
    assertEquals(sendAll(SECOND), SHARE);
    instances.learnt(2 * SHARE);
    assertEquals(sendAll(SECOND), 1);
  }

  /** Servers of a service that declares nothing bear requests from their first moment on. */
  @Test
  public void withoutADeclarationNothingIsHeldBack() {
    coldServers = sends(Warmup.UNLIMITED);
    server.assumeCold(SPAN, time.read());
    assertTrue(coldServers.allowed(server));
  }

  /** Nobody listens at a server's address: its process has ended, and the next one starts cold. */
  @Test
  public void aServerThatCouldNotBeReachedCountsAsCold() {
    time.advance(10 * SECOND);
    coldServers.unreachable(server);
    assertTrue(server.cold(time.read()));
    server.recordWarmup(0, time.read());
    assertFalse(server.cold(time.read()));
  }

  /** Entries are seconds old: one that says warm must not end a warm-up that began since. */
  @Test
  public void anEntryDoesNotEndAWarmup() {
    server.recordWarmup(SPAN, time.read());
    server.update(Servers.entry("a", false), time.read());
    assertTrue(server.cold(time.read()));
  }
}
