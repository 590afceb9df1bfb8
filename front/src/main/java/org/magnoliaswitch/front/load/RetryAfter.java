package org.magnoliaswitch.front.load;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * When a refused caller should come back; pure.
 *
 * <p>Load pattern: many callers are refused within the same moment of a burst. Sent back after the
 * same time they would meet again and be refused together, so their returns are spread over about
 * the time in which the servers finish what they hold.
 */
public final class RetryAfter {
  /** A slot of the usual services becomes free after this time. */
  private static final double MIN_SECONDS = 0.08;

  private static final double SPAN_SECONDS = 0.16;

  /** Where all return if they are not spread. */
  private static final double MIDDLE = 0.5;

  private RetryAfter() {}

  private static double place(RandomGenerator random, Mechanisms mechanisms) {
    return mechanisms.on(Mechanism.SPREAD_RETURNS) ? random.nextDouble() : MIDDLE;
  }

  /** Time after the refusal, in nanoseconds. */
  public static long nanos(RandomGenerator random, Mechanisms mechanisms) {
    double seconds = MIN_SECONDS + SPAN_SECONDS * place(random, mechanisms);
    return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
  }
}
