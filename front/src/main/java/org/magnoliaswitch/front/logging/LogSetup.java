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
 * Sets logging up in code: lines go to standard output through a bounded queue.
 *
 * <p>Reading a configuration file took half of the processor time of a start, which callers of a
 * restarted machine wait for. The queue drops what a blocked output cannot take, so that no request
 * waits for its log line.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  /** Lines that wait for the output: some seconds at the bounded rate. */
  private static final int QUEUE_LINES = 2_048;

  /** Longest wait for the queue to empty at the end of the process. */
  private static final int FLUSH_MILLIS = 200;

  private static final String OWN_LOGGERS = "org.magnoliaswitch";

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
    queue.setQueueSize(QUEUE_LINES);
    queue.setDiscardingThreshold(0);
    queue.setNeverBlock(true);
    queue.setMaxFlushTime(FLUSH_MILLIS);
    queue.addAppender(output);
    queue.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(queue);
    context.getLogger(OWN_LOGGERS).setLevel(Level.INFO);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  /**
   * Prints problems of the log itself. Without a listener the library looks for problems at the end
   * of its set-up, and loads all time zones for their time stamps, while a restarted instance's
   * callers wait.
   */
  private static final class ProblemPrinter implements StatusListener {
    @Override
    public void addStatusEvent(Status status) {
      if (status.getEffectiveLevel() >= Status.WARN) {
        System.err.println("log: " + status.getMessage());
      }
    }
  }

  /** Writes out what waits; for the end of the process. */
  public static void flush() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }
}
