package org.magnoliaswitch.front.connection;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory of the responses that wait for their callers, on the connections of one event loop.
 *
 * <p>A response is held from its arrival until its caller has taken it, which a caller that reads
 * nothing never does. If all connections together hold more than the limit, the one that holds the
 * most is closed: a full heap would end the process with the requests of all callers. Used by one
 * thread, but for {@link #heldBytes}.
 */
final class ResponseBacklog {
  private final long limitBytes;
  private final Set<Share> shares = new HashSet<>();

  /** Written by one thread; the metrics read it. */
  private final AtomicLong heldBytes = new AtomicLong();

  /**
   * Creates a backlog that holds nothing.
   *
   * @param limitBytes limit of the bodies of all responses that wait
   */
  ResponseBacklog(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Opens the share of a connection.
   *
   * @param evict closes the connection; called at most once, while responses of this or another
   *     connection are added
   */
  Share open(Runnable evict) {
    return new Share(evict);
  }

  /** Bytes held now by all connections together. */
  long heldBytes() {
    return heldBytes.get();
  }

  private void evictDownToLimit() {
    while (heldBytes.get() > limitBytes) {
      Share largest = shares.stream().max(Comparator.comparingLong(Share::bytes)).orElseThrow();
      largest.close();
      largest.evict.run();
    }
  }

  /** What one connection holds. */
  final class Share {
    private final Runnable evict;
    private long bytes;
    private boolean closed;

    private Share(Runnable evict) {
      this.evict = evict;
    }

    /**
     * Counts a response that waits. This or another connection may be evicted before it returns.
     */
    void add(long size) {
      if (closed) {
        return;
      }
      bytes += size;
      heldBytes.addAndGet(size);
      shares.add(this);
      evictDownToLimit();
    }

    /** Counts a part of a response that was sent. */
    void remove(long size) {
      if (closed) {
        return;
      }
      bytes -= size;
      heldBytes.addAndGet(-size);
      if (bytes == 0) {
        shares.remove(this);
      }
    }

    /** Bytes held by the connection. */
    long bytes() {
      return bytes;
    }

    /** Counts nothing any more, since the connection is closed. */
    void close() {
      if (!closed) {
        closed = true;
        shares.remove(this);
        heldBytes.addAndGet(-bytes);
      }
    }
  }
}
