package org.magnoliaswitch.standins;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * What is wrong with a backend stand-in now.
 *
 * @param slowdown factor on service times, 1 for none
 * @param noise whether service times shift by themselves every few milliseconds
 * @param rejectShare share of requests refused at once
 * @param cutShare share of answers cut short after execution
 * @param lateShare share of answers held back past any deadline after execution
 * @param silentBefore connections opened before this wall-clock time never answer, 0 for none
 * @param lagMillis age of the load reports
 * @param lie whether reports say that the server is idle
 * @param draining whether it says that it is about to stop
 * @param stopped whether its listener is closed
 */
@JsonIgnoreProperties(ignoreUnknown = false)
public record ServerFaults(
    double slowdown,
    boolean noise,
    double rejectShare,
    double cutShare,
    double lateShare,
    long silentBefore,
    int lagMillis,
    boolean lie,
    boolean draining,
    boolean stopped) {
  /** A healthy server. */
  public static final ServerFaults NONE =
      new ServerFaults(1, false, 0, 0, 0, 0, 0, false, false, false);
}
