package org.magnoliaswitch.core.clock;

import com.google.common.base.Ticker;
import java.time.InstantSource;

/**
 * The clocks of a process; tests replace them by clocks that they advance manually.
 *
 * @param wall wall-clock time, for timestamps that people and other processes read
 * @param ticker monotonic time in nanoseconds, for deadlines and ages
 */
public record Clocks(InstantSource wall, Ticker ticker) {
  /** Returns the system clocks. */
  public static Clocks system() {
    return new Clocks(InstantSource.system(), Ticker.systemTicker());
  }

  /** Returns the monotonic time in nanoseconds. */
  public long nanos() {
    return ticker.read();
  }

  /** Returns the wall-clock time in milliseconds since the epoch. */
  public long millis() {
    return wall.millis();
  }
}
