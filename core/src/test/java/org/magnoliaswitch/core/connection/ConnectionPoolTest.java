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

/** Which connection a request gets. */
public final class ConnectionPoolTest {
  private static final long ANY = Long.MAX_VALUE;
  private static final int TIMEOUT = 1_000;

  private ManualClock time = new ManualClock();
  private ServerSocket listener = listen();
  private ConnectionPool pool = pool(2);

  @BeforeMethod
  public void fresh() throws IOException {
    listener.close();
    time = new ManualClock();
    listener = listen();
    pool = pool(2);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    listener.close();
  }

  @Test
  public void reusesTheMostRecentlyUsed() throws IOException {
    BackendConnection first = pool.acquire(ANY, TIMEOUT);
    BackendConnection second = pool.acquire(ANY, TIMEOUT);
    pool.release(first);
    pool.release(second);
    assertSame(pool.acquire(ANY, TIMEOUT), second);
  }

  /** A booking must not be put on a connection that nobody has heard of for a while. */
  @Test
  public void opensANewOneWhenTheIdleOneIsTooOldForTheRequest() throws IOException {
    BackendConnection idle = pool.acquire(ANY, TIMEOUT);
    pool.release(idle);
    time.advance(Duration.ofSeconds(1));
    assertNotSame(pool.acquire(Duration.ofMillis(500).toNanos(), TIMEOUT), idle);
    assertSame(pool.acquire(ANY, TIMEOUT), idle);
  }

  /** One connection went silent; its siblings of the same age are not trusted any more. */
  @Test
  public void doubtClosesSiblingsWithoutALaterAnswer() throws IOException {
    BackendConnection sibling = pool.acquire(ANY, TIMEOUT);
    pool.release(sibling);
    time.advance(Duration.ofSeconds(1));
    pool.distrustIdleSince(time.read());
    assertNotSame(pool.acquire(ANY, TIMEOUT), sibling);
    assertEquals(pool.openConnections(), 1);
  }

  @Test
  public void sweepsWhatIdledTooLong() throws IOException {
    pool.release(pool.acquire(ANY, TIMEOUT));
    time.advance(Duration.ofSeconds(11));
    pool.evictUnusable();
    assertEquals(pool.openConnections(), 0);
  }

  /** A server that leaves closes its side; found idle after its return it would break a request. */
  @Test
  public void closesEverythingIdleOfAServerThatLeaves() throws IOException {
    pool.release(pool.acquire(ANY, TIMEOUT));
    time.advance(Duration.ofMillis(1));
    pool.closeIdle();
    assertEquals(pool.openConnections(), 0);
  }

  @Test
  public void staysWithinItsShare() throws IOException {
    pool.acquire(ANY, TIMEOUT);
    pool.acquire(ANY, TIMEOUT);
    assertThrows(ConnectionPool.PoolExhaustedException.class, () -> pool.acquire(ANY, TIMEOUT));
  }

  private ConnectionPool pool(int limit) {
    return new ConnectionPool(
        new InetSocketAddress("127.0.0.1", listener.getLocalPort()), limit, time.clocks());
  }

  private static ServerSocket listen() {
    try {
      return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
