package org.magnoliaswitch.entry;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * Closes connections whose sender takes too long over a request's header.
 *
 * <p>A byte now and then keeps a connection from ever being idle, so the idle timeout does not end
 * it; thousands of such connections would use up the listener's bound. What counts here is the time
 * since the first byte after the last whole header.
 */
final class SlowSenderGuard implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time for a whole header. */
  static final long HEADER_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final long SWEEP_SECONDS = 1;

  /** A header under way: how many requests the connection had had, and since when. */
  private record Begun(long requests, long bytes, long sinceNanos) {}

  private final Supplier<Collection<EndPoint>> endPoints;
  private final Clocks clocks;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("slow-senders").daemon().factory());
  private Map<EndPoint, Begun> begun = new HashMap<>();

  SlowSenderGuard(Supplier<Collection<EndPoint>> endPoints, Clocks clocks) {
    this.endPoints = endPoints;
    this.clocks = clocks;
  }

  void start() {
    var unused =
        timer.scheduleWithFixedDelay(this::sweep, SWEEP_SECONDS, SWEEP_SECONDS, TimeUnit.SECONDS);
  }

  /** Looks at every connection once; returns how many were closed. */
  synchronized int sweep() {
    long now = clocks.nanos();
    int closed = 0;
    Map<EndPoint, Begun> next = new HashMap<>();
    for (EndPoint endPoint : endPoints.get()) {
      Connection connection = endPoint.getConnection();
      if (connection == null) {
        continue;
      }
      Begun before = begun.get(endPoint);
      Begun seen = look(connection, before, now);
      boolean sending = before != null && seen.bytes() > before.bytes();
      if (sending && now - seen.sinceNanos() > HEADER_NANOS) {
        logger.atWarning().log(
            "event=slow_header_closed from=%s", endPoint.getRemoteSocketAddress());
        endPoint.close();
        closed++;
      } else {
        next.put(endPoint, seen);
      }
    }
    begun = next;
    return closed;
  }

  /** The time runs from the last change of the number of requests while bytes keep coming. */
  private static Begun look(
      Connection connection, @org.jspecify.annotations.Nullable Begun before, long now) {
    long requests = connection.getMessagesIn();
    long bytes = connection.getBytesIn();
    boolean atWork = requests > connection.getMessagesOut();
    boolean sameHeader =
        !atWork && before != null && before.requests() == requests && bytes > before.bytes();
    return new Begun(requests, bytes, sameHeader ? before.sinceNanos() : now);
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
