package org.magnoliaswitch.front.request;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.process.Environment;

/** Holds a request until there is a configuration and a list of servers. */
final class FirstConfigurationWait {
  /** Interval at which the configuration and the server list are checked. */
  private static final long CHECK_INTERVAL_MILLIS = 10;

  /**
   * Longest wait of a request. After the loss of all instances, all callers retry at once; an
   * instance that has started knows its servers soon after it listens, and a refusal would cost
   * each caller one of its retries.
   */
  private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final Environment environment;
  private final long readNanos;

  /**
   * Creates the wait of one request.
   *
   * @param readNanos when the request was read
   */
  FirstConfigurationWait(Environment environment, long readNanos) {
    this.environment = environment;
    this.readNanos = readNanos;
  }

  /**
   * Waits, and then runs one of the two actions.
   *
   * @param stillNeeded whether the request still needs a response; if not, no action is run
   * @param available runs once the configuration and the server list are known
   * @param timedOut runs if they do not become known in time
   */
  void await(BooleanSupplier stillNeeded, Runnable available, Runnable timedOut) {
    if (!stillNeeded.getAsBoolean()) {
      return;
    }
    if (environment.routes().get().known() && environment.servers().known()) {
      available.run();
    } else if (environment.clocks().nanos() - readNanos < maxWaitNanos()) {
      environment
          .loop()
          .afterMillis(CHECK_INTERVAL_MILLIS, () -> await(stillNeeded, available, timedOut));
    } else {
      timedOut.run();
    }
  }

  private long maxWaitNanos() {
    return environment.settings().mechanisms().enabled(Mechanism.FIRST_CONFIGURATION)
        ? MAX_WAIT_NANOS
        : 0;
  }
}
