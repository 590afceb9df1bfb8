package org.magnoliaswitch.front.loop;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One event loop: a thread that runs the callbacks of its channels, and timers.
 *
 * <p>A task that throws is logged here; the event loop alone would keep the exception in a future
 * that nobody reads, and a periodic task would end in silence.
 */
public final class Loop {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EventLoop events;

  private Loop(EventLoop events) {
    this.events = events;
  }

  /** Starts a loop with a thread of its own. */
  public static Loop start() {
    return new Loop(
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next());
  }

  /** The event loop that channels register with. */
  public EventLoop events() {
    return events;
  }

  /** Runs a task soon, after the callbacks in progress. */
  public void execute(Runnable task) {
    events.execute(guarded(task));
  }

  /** A timer that can be taken back. */
  @FunctionalInterface
  public interface Timer {
    /** Keeps the task from running if it has not begun. */
    void cancel();
  }

  /** Runs a task once after a while. */
  public Timer after(long nanos, Runnable task) {
    ScheduledFuture<?> future =
        events.schedule(guarded(task), Math.max(0, nanos), TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }

  /** Runs a task once after a while. */
  public Timer afterMillis(long millis, Runnable task) {
    return after(TimeUnit.MILLISECONDS.toNanos(millis), task);
  }

  /** Runs a task again and again. */
  public void everyMillis(long millis, Runnable task) {
    var unused = events.scheduleAtFixedRate(guarded(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Ends the thread; for tests. */
  public void stop() {
    var unused = events.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("event=task_failed");
      }
    };
  }
}
