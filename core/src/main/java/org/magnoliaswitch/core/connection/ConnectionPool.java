package org.magnoliaswitch.core.connection;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * Connections of this instance to one backend server; the most recently used one is reused first.
 *
 * <p>A connection can go silent for good while new ones work, because something between the ends
 * forgot it. Two safeguards keep requests off such connections: idle ones are not reused after a
 * while, and one silence casts doubt on every sibling that has not carried an answer since it
 * began.
 */
public final class ConnectionPool {
  /** Idle time after which a connection is closed instead of reused. */
  private static final long MAX_IDLE_NANOS = 10_000_000_000L;

  private final InetSocketAddress address;
  private final Clocks clocks;
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger limit;
  private final AtomicLong distrustedBeforeNanos;
  private final ConcurrentLinkedDeque<BackendConnection> idle = new ConcurrentLinkedDeque<>();

  public ConnectionPool(InetSocketAddress address, int limit, Clocks clocks) {
    this.address = address;
    this.clocks = clocks;
    this.limit = new AtomicInteger(limit);
    this.distrustedBeforeNanos = new AtomicLong(clocks.nanos());
  }

  /** Thrown when this instance's share of the server's connections is in use. */
  public static final class PoolExhaustedException extends IOException {
    PoolExhaustedException(int limit) {
      super("all " + limit + " connections are in use");
    }
  }

  /**
   * Takes an idle connection whose last answer is recent enough, or opens one.
   *
   * @param maxIdleNanos oldest last answer to accept; requests that must not end with an unknown
   *     outcome for nothing pass a small value
   */
  public BackendConnection acquire(long maxIdleNanos, int connectTimeoutMillis) throws IOException {
    BackendConnection reused = acquireIdle(Math.min(maxIdleNanos, MAX_IDLE_NANOS));
    if (reused != null) {
      return reused;
    }
    if (open.incrementAndGet() > limit.get() && !evictOldestIdle()) {
      open.decrementAndGet();
      throw new PoolExhaustedException(limit.get());
    }
    try {
      return BackendConnection.open(address, connectTimeoutMillis, clocks.nanos());
    } catch (IOException e) {
      open.decrementAndGet();
      throw e;
    }
  }

  /**
   * Whether nobody listens at the server's address, as after the end of its process. No answer at
   * all is not told from a cut path, and counts as a server that lives.
   */
  public boolean refusesConnections(int timeoutMillis) {
    try {
      BackendConnection.open(address, timeoutMillis, clocks.nanos()).abort();
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Gives back a connection whose exchange ended with a whole answer. */
  public void release(BackendConnection connection) {
    connection.recordSuccess(clocks.nanos());
    idle.addFirst(connection);
  }

  /**
   * Closes a connection whose exchange did not end with a whole answer, or that may not be kept.
   */
  public void discard(BackendConnection connection) {
    connection.abort();
    open.decrementAndGet();
  }

  /** Closes on next sight all idle connections without an answer since the given time. */
  public void distrustIdleSince(long sinceNanos) {
    distrustedBeforeNanos.accumulateAndGet(sinceNanos, (a, b) -> b - a > 0 ? b : a);
  }

  /** Closes connections that idled too long or are in doubt; called now and then. */
  public void evictUnusable() {
    for (BackendConnection connection : idle) {
      if (!usable(connection, MAX_IDLE_NANOS) && idle.remove(connection)) {
        discard(connection);
      }
    }
  }

  /** Changes this instance's share of the server's connections. */
  public void limit(int connections) {
    limit.set(connections);
  }

  /** Connections now open. */
  public int openConnections() {
    return open.get();
  }

  /** Closes all idle connections; those in use are closed by their exchanges. */
  public void closeIdle() {
    distrustIdleSince(clocks.nanos());
    evictUnusable();
  }

  private @Nullable BackendConnection acquireIdle(long maxIdleNanos) {
    for (BackendConnection next = idle.pollFirst(); next != null; next = idle.pollFirst()) {
      if (usable(next, maxIdleNanos)) {
        return next;
      }
      if (usable(next, MAX_IDLE_NANOS)) {
        // Too old for this request only; all further ones are older still.
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

  private boolean usable(BackendConnection connection, long maxIdleNanos) {
    long last = connection.lastSuccessNanos();
    return clocks.nanos() - last < maxIdleNanos && last - distrustedBeforeNanos.get() >= 0;
  }
}
