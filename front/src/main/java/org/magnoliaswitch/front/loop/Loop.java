package org.magnoliaswitch.front.loop;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * An event loop: a thread that runs the callbacks of its channels, tasks and timers.
 *
 * <p>Exceptions of tasks are logged. The underlying event loop would only store the exception in a
 * future that nobody reads, and would silently cancel a periodic task.
 */
public final class Loop {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EventLoop events;

  private Loop(EventLoop events) {
    this.events = events;
  }

  /** Starts a loop with its own thread. */
  public static Loop start() {
    return new Loop(
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next());
  }

  /** Uses an event loop that exists, for example one whose time a test advances. */
  public static Loop of(EventLoop events) {
    return new Loop(events);
  }

  /** The event loop that channels register with. */
  public EventLoop events() {
    return events;
  }

  /** Runs a task on the loop after the callbacks in progress. */
  public void execute(Runnable task) {
    events.execute(loggingExceptions(task));
  }

  /** A timer that can be cancelled. */
  @FunctionalInterface
  public interface Timer {
    /** Prevents the task from running if it has not started. */
    void cancel();
  }

  /** Runs a task once after a delay in nanoseconds. */
  public Timer after(long nanos, Runnable task) {
    ScheduledFuture<?> future =
        events.schedule(loggingExceptions(task), Math.max(0, nanos), TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }

  /** Runs a task once after a delay in milliseconds. */
  public Timer afterMillis(long millis, Runnable task) {
    return after(TimeUnit.MILLISECONDS.toNanos(millis), task);
  }

  /** Runs a task periodically, first after one period. */
  public void everyMillis(long millis, Runnable task) {
    var unused =
        events.scheduleAtFixedRate(loggingExceptions(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Stops the thread; for tests. */
  public void stop() {
    var unused = events.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static Runnable loggingExceptions(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("event=task_failed");
      } catch (Error e) {
        logger.atSevere().withCause(e).log("event=task_failed");
        throw e;
      }
    };
  }
}
