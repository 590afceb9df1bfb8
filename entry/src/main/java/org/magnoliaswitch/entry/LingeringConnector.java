package org.magnoliaswitch.entry;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * Closes a connection in two steps: its output at once, and the socket once the caller has closed
 * it or has had time to receive everything. A further request that arrives at a closed socket
 * resets the connection, which destroys what the kernel still holds of the responses.
 */
final class LingeringConnector extends ServerConnector {
  /** Time for which a closed connection is read at most. */
  private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** Sockets held for callers that do not close; further ones are closed at once. */
  private static final int MAX_LINGERING = 1_000;

  private static final long POLL_MILLIS = 10;
  private static final int BUFFER_BYTES = 4 << 10;

  private final Clocks clocks;
  private final AtomicInteger lingering = new AtomicInteger();

  LingeringConnector(
      Server server, Clocks clocks, int acceptors, int selectors, ConnectionFactory... factories) {
    super(server, acceptors, selectors, factories);
    this.clocks = clocks;
  }

  /** Waits until all connections are closed by their callers, until a time at most. */
  void awaitCallers(long endNanos) throws InterruptedException {
    while (lingering.get() > 0 && clocks.nanos() - endNanos < 0) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  @Override
  protected SocketChannelEndPoint newEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key) {
    SocketChannelEndPoint endPoint = new LingeringEndPoint(channel, selector, key);
    endPoint.setIdleTimeout(getIdleTimeout());
    return endPoint;
  }

  /** The socket of one connection. */
  private final class LingeringEndPoint extends SocketChannelEndPoint {
    private final SelectionKey key;

    LingeringEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
      super(channel, selector, key, LingeringConnector.this.getScheduler());
      this.key = key;
    }

    @Override
    public void doClose() {
      if (lingering.incrementAndGet() > MAX_LINGERING) {
        endLinger();
        return;
      }
      try {
        getChannel().shutdownOutput();
        key.cancel();
        Thread.ofVirtual().start(this::linger);
      } catch (IOException e) {
        // The caller has reset the connection.
        endLinger();
      }
    }

    private void endLinger() {
      super.doClose();
      lingering.decrementAndGet();
    }

    private void linger() {
      try {
        drop(getChannel());
      } catch (IOException e) {
        // The caller has reset the connection.
        return;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        endLinger();
      }
    }

    /** Reads and drops what arrives until the caller has closed the connection. */
    private void drop(SocketChannel channel) throws IOException, InterruptedException {
      ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
      long endNanos = clocks.nanos() + LINGER_NANOS;
      while (clocks.nanos() - endNanos < 0) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count < 0) {
          return;
        }
        if (count == 0) {
          TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
      }
    }
  }
}
