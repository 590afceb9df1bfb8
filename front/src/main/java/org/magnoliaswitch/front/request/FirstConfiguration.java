package org.magnoliaswitch.front.request;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.magnoliaswitch.front.load.Mechanism;
import org.magnoliaswitch.front.process.Environment;

/** Holds a request until there is a configuration and a list of servers. */
final class FirstConfiguration {
  /** Time between two looks for a configuration. */
  private static final long LOOK_AGAIN_MILLIS = 10;

  /**
   * How long a request waits. After a loss of all instances everyone's callers return at once; a
   * started instance knows its servers soon after it listens, and a refusal would cost each of them
   * a try.
   */
  private static final long WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final Environment environment;
  private final long readNanos;

  /**
   * Prepares the wait of one request.
   *
   * @param readNanos when it was read
   */
  FirstConfiguration(Environment environment, long readNanos) {
    this.environment = environment;
    this.readNanos = readNanos;
  }

  /** Runs one of the actions, unless the request is no longer wanted. */
  void await(BooleanSupplier wanted, Runnable known, Runnable tooLate) {
    if (!wanted.getAsBoolean()) {
      return;
    }
    if (environment.routes().get().known() && environment.servers().known()) {
      known.run();
    } else if (environment.clocks().nanos() - readNanos < waitNanos()) {
      environment.loop().afterMillis(LOOK_AGAIN_MILLIS, () -> await(wanted, known, tooLate));
    } else {
      tooLate.run();
    }
  }

  private long waitNanos() {
    return environment.settings().mechanisms().enabled(Mechanism.FIRST_CONFIGURATION)
        ? WAIT_NANOS
        : 0;
  }
}
