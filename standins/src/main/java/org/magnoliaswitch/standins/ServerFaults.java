package org.magnoliaswitch.standins;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The faults that a backend stand-in currently simulates.
 *
 * @param slowdown factor by which service times are multiplied, 1 for none
 * @param noise whether service times are longer in random short periods, as with a noisy neighbour
 * @param rejectShare share of requests rejected immediately
 * @param cutShare share of answers truncated after execution
 * @param lateShare share of answers delayed beyond any deadline after execution
 * @param silentBefore connections opened before this wall-clock time in milliseconds receive no
 *     answer, 0 for none
 * @param lagMillis age of the load reports in milliseconds
 * @param lie whether load reports claim that the server is idle
 * @param draining whether the server announces that it is about to stop
 * @param stopped whether the listening socket is closed
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
