package org.magnoliaswitch.front.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import ch.qos.logback.core.status.Status;
import ch.qos.logback.core.status.StatusListener;
import org.slf4j.LoggerFactory;

/**
 * Configures logging in code: lines are written to standard output through a bounded queue.
 *
 * <p>Reading a configuration file would take half of the processor time of a start, and callers of
 * a restarted machine wait for the start. When the output blocks, the queue drops lines, so that no
 * request waits for its log line.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  /** Capacity of the queue: some seconds of lines at the limited logging rate. */
  private static final int QUEUE_CAPACITY = 2_048;

  /** Time limit for writing out the queue when the process stops. */
  private static final int FLUSH_TIMEOUT_MILLIS = 200;

  private static final String PROJECT_LOGGERS = "org.magnoliaswitch";

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    context.getStatusManager().add(new ProblemPrinter());
    LogLineEncoder encoder = new LogLineEncoder();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> output = new ConsoleAppender<>();
    output.setContext(context);
    output.setEncoder(encoder);
    output.start();
    AsyncAppender queue = new AsyncAppender();
    queue.setContext(context);
    queue.setQueueSize(QUEUE_CAPACITY);
    queue.setDiscardingThreshold(0);
    queue.setNeverBlock(true);
    queue.setMaxFlushTime(FLUSH_TIMEOUT_MILLIS);
    queue.addAppender(output);
    queue.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(queue);
    context.getLogger(PROJECT_LOGGERS).setLevel(Level.INFO);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  /**
   * Prints problems of the logging itself. Without a listener, the library checks for problems
   * after the configuration and loads all time zones to print their time stamps, while the callers
   * of a restarted instance wait.
   */
  private static final class ProblemPrinter implements StatusListener {
    @Override
    public void addStatusEvent(Status status) {
      if (status.getEffectiveLevel() >= Status.WARN) {
        System.err.println("log: " + status.getMessage());
      }
    }
  }

  /** Writes out the queued lines and stops logging; for the end of the process. */
  public static void flush() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }
}
