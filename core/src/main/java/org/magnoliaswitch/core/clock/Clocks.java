package org.magnoliaswitch.core.clock;

import com.google.common.base.Ticker;
import java.time.InstantSource;

/**
 * The clocks of a process, which tests pause and advance.
 *
 * @param wall wall-clock time, for time stamps that people and other processes read
 * @param ticker monotonic nanoseconds, for deadlines and ages
 */
public record Clocks(InstantSource wall, Ticker ticker) {
  /** The clocks of the runtime. */
  public static Clocks system() {
    return new Clocks(InstantSource.system(), Ticker.systemTicker());
  }

  /** Monotonic nanoseconds. */
  public long nanos() {
    return ticker.read();
  }

  /** Wall-clock milliseconds since the epoch. */
  public long millis() {
    return wall.millis();
  }
}
