package org.magnoliaswitch.core.connection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * The connections of this instance to one backend server; the most recently used one is reused
 * first.
 *
 * <p>A connection can become permanently silent while new ones work, because a device on the
 * network path has dropped its state. Two safeguards keep requests off such connections:
 * connections that were idle for long are not reused, and an exchange without a response makes the
 * pool distrust every connection that has not received a response since the exchange began.
 */
public final class ConnectionPool {
  /** Idle time after which a connection is closed instead of being reused. */
  private static final long MAX_IDLE_NANOS = 10_000_000_000L;

  /**
   * Time for which no connection is reused after a response without an id. A server that leaves the
   * id out of some responses, such as rejections, would have them refused on reused connections.
   */
  private static final long UNIDENTIFIED_NANOS = MAX_IDLE_NANOS;

  private final ServerDialer dialer;
  private final Clocks clocks;
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger limit;
  private final AtomicLong distrustedBeforeNanos;
  private final AtomicReference<Optional<Long>> unidentifiedNanos =
      new AtomicReference<>(Optional.empty());
  private final ConcurrentLinkedDeque<BackendConnection> idle = new ConcurrentLinkedDeque<>();

  /** Creates a pool of connections over the network of this machine. */
  public ConnectionPool(InetSocketAddress address, int limit, Clocks clocks) {
    this(new DirectDialer(address, clocks), limit, clocks);
  }

  /** Creates a pool of connections that a dialer opens. */
  public ConnectionPool(ServerDialer dialer, int limit, Clocks clocks) {
    this.dialer = dialer;
    this.clocks = clocks;
    this.limit = new AtomicInteger(limit);
    this.distrustedBeforeNanos = new AtomicLong(clocks.nanos());
  }

  /** Thrown when this instance's share of the server's connections is in use. */
  public static final class PoolExhaustedException extends IOException {
    PoolExhaustedException(int limit) {
      super("all " + limit + " connections to the server are in use");
    }
  }

  /**
   * Acquires an idle connection whose last response is recent enough, or opens a new one.
   *
   * @param maxIdleNanos maximum age of the last response on a reused connection; small for requests
   *     that must not be executed twice, whose outcome would be unknown if the connection turned
   *     out to be broken; 0 for a new connection
   * @param requestId id of the request; a connection that has carried it is not reused
   */
  public BackendConnection acquire(long maxIdleNanos, int connectTimeoutMillis, String requestId)
      throws IOException {
    BackendConnection idleConnection =
        acquireIdle(Math.min(maxIdleNanos, MAX_IDLE_NANOS), requestId);
    if (idleConnection != null) {
      return idleConnection;
    }
    if (open.incrementAndGet() > limit.get() && !evictOldestIdle()) {
      open.decrementAndGet();
      throw new PoolExhaustedException(limit.get());
    }
    try {
      return dialer.open(connectTimeoutMillis);
    } catch (IOException e) {
      open.decrementAndGet();
      throw e;
    }
  }

  /** Whether no process listens at the server's address, as after a crash. */
  public boolean refusesConnections(int timeoutMillis) {
    return dialer.refusesConnections(timeoutMillis);
  }

  /** Returns a connection whose exchange ended with a complete response. */
  public void release(BackendConnection connection) {
    if (!connection.reusable() || unidentifiedRecently() || connection.hasFurtherBytes()) {
      discard(connection);
      return;
    }
    connection.recordSuccess(clocks.nanos());
    idle.addFirst(connection);
  }

  /**
   * Closes a connection whose exchange ended without a complete response, or that must not be
   * reused.
   */
  public void discard(BackendConnection connection) {
    connection.abort();
    open.decrementAndGet();
  }

  /**
   * Distrusts all idle connections without a response since the given time; each is closed when the
   * pool next encounters it.
   */
  public void distrustIdleSince(long sinceNanos) {
    distrustedBeforeNanos.accumulateAndGet(sinceNanos, (a, b) -> b - a > 0 ? b : a);
  }

  /**
   * Records a response without an id, which is accepted only on a new connection: for some time,
   * connections are not reused.
   */
  public void recordUnidentified() {
    long now = clocks.nanos();
    unidentifiedNanos.set(Optional.of(now));
    distrustIdleSince(now);
  }

  /** Closes connections that were idle too long or are distrusted; called periodically. */
  public void evictUnusable() {
    for (BackendConnection connection : idle) {
      if (!usable(connection, MAX_IDLE_NANOS) && idle.remove(connection)) {
        discard(connection);
      }
    }
  }

  /** Sets this instance's share of the server's connections. */
  public void limit(int connections) {
    limit.set(connections);
  }

  /** Number of open connections. */
  public int openConnections() {
    return open.get();
  }

  /**
   * Closes all idle connections; connections in use return to the pool when their exchange
   * completes.
   */
  public void closeIdle() {
    distrustIdleSince(clocks.nanos());
    evictUnusable();
  }

  private @Nullable BackendConnection acquireIdle(long maxIdleNanos, String requestId) {
    for (BackendConnection next = idle.pollFirst(); next != null; next = idle.pollFirst()) {
      if (next.hasFurtherBytes() || next.hasCarried(requestId)) {
        discard(next);
        continue;
      }
      if (usable(next, maxIdleNanos)) {
        return next;
      }
      if (usable(next, MAX_IDLE_NANOS)) {
        // Too old for this request only; the remaining connections are older.
        idle.addFirst(next);
        return null;
      }
      discard(next);
    }
    return null;
  }

  private boolean evictOldestIdle() {
    BackendConnection oldest = idle.pollLast();
    if (oldest == null) {
      return false;
    }
    discard(oldest);
    return true;
  }

  private boolean unidentifiedRecently() {
    Optional<Long> since = unidentifiedNanos.get();
    return since.isPresent() && clocks.nanos() - since.get() < UNIDENTIFIED_NANOS;
  }

  private boolean usable(BackendConnection connection, long maxIdleNanos) {
    long last = connection.lastSuccessNanos();
    return clocks.nanos() - last < maxIdleNanos && last - distrustedBeforeNanos.get() >= 0;
  }
}
