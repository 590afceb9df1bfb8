package org.magnoliaswitch.core.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import org.magnoliaswitch.core.testing.ManualClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests reuse, eviction and the limit of pooled connections. */
public final class ConnectionPoolTest {
  private static final long UNLIMITED_NANOS = Long.MAX_VALUE;
  private static final int TIMEOUT_MILLIS = 1_000;

  private ManualClock clock = new ManualClock();
  private ServerSocket listener = listen();
  private ConnectionPool pool = pool(2);

  @BeforeMethod
  public void setUp() throws IOException {
    listener.close();
    clock = new ManualClock();
    listener = listen();
    pool = pool(2);
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() throws IOException {
    listener.close();
  }

  @Test
  public void reusesMostRecentlyUsedConnection() throws IOException {
    BackendConnection first = pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r");
    BackendConnection second = pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r");
    pool.release(first);
    pool.release(second);
    assertSame(pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r"), second);
  }

  /**
   * Guards against sending a request that must not be executed twice on a connection that may be
   * broken because its last response is too old.
   */
  @Test
  public void opensNewConnectionWhenIdleOneIsTooOldForRequest() throws IOException {
    BackendConnection idle = pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r");
    pool.release(idle);
    clock.advance(Duration.ofSeconds(1));
    assertNotSame(pool.acquire(Duration.ofMillis(500).toNanos(), TIMEOUT_MILLIS, "r"), idle);
    assertSame(pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r"), idle);
  }

  /** A silent connection makes the pool distrust the connections whose last response is older. */
  @Test
  public void distrustedConnectionsWithoutLaterResponseAreClosed() throws IOException {
    BackendConnection idle = pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r");
    pool.release(idle);
    clock.advance(Duration.ofSeconds(1));
    pool.distrustIdleSince(clock.read());
    assertNotSame(pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r"), idle);
    assertEquals(pool.openConnections(), 1);
  }

  @Test
  public void unusedConnectionsAreEvicted() throws IOException {
    pool.release(pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r"));
    clock.advance(Duration.ofSeconds(11));
    pool.evictUnusable();
    assertEquals(pool.openConnections(), 0);
  }

  /**
   * A server that leaves closes its side of idle connections. Reused after the return of the
   * server, such a connection would fail a request.
   */
  @Test
  public void closesIdleConnectionsOfLeavingServer() throws IOException {
    pool.release(pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r"));
    clock.advance(Duration.ofMillis(1));
    pool.closeIdle();
    assertEquals(pool.openConnections(), 0);
  }

  @Test
  public void staysWithinItsLimit() throws IOException {
    pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r");
    pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r");
    assertThrows(
        ConnectionPool.PoolExhaustedException.class,
        () -> pool.acquire(UNLIMITED_NANOS, TIMEOUT_MILLIS, "r"));
  }

  private ConnectionPool pool(int limit) {
    return new ConnectionPool(
        new InetSocketAddress("127.0.0.1", listener.getLocalPort()), limit, clock.clocks());
  }

  private static ServerSocket listen() {
    try {
      return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
