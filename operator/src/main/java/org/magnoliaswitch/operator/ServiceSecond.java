package org.magnoliaswitch.operator;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What became of the requests of one service that ended in one second. */
final class ServiceSecond {
  private static final double MICROS_PER_MILLI = 1_000;

  private int requests;
  private int inTime;
  private int late;
  private int left;
  private int furtherSends;
  private double slotMicros;
  private double unusedMicros;
  private double undisturbedMicros;
  private int undisturbed;
  private final Map<String, Integer> unserved = new TreeMap<>();

  /** Counts a request that was answered. */
  void answered(boolean inObjective) {
    requests++;
    inTime += inObjective ? 1 : 0;
    late += inObjective ? 0 : 1;
  }

  /** Counts a request whose caller left before it was answered. */
  void callerLeft() {
    requests++;
    left++;
  }

  /** Counts a request that ended otherwise. */
  void unserved(String outcome) {
    requests++;
    unserved.merge(outcome, 1, Integer::sum);
  }

  /**
   * Counts the time from a send to the end of its request.
   *
   * @param used whether its answer reached the caller
   * @param further whether the request had been sent before
   * @param fast whether the server said that it was undisturbed
   */
  void sent(double micros, boolean used, boolean further, boolean fast) {
    furtherSends += further ? 1 : 0;
    slotMicros += micros;
    unusedMicros += used ? 0 : micros;
    if (used && fast) {
      undisturbedMicros += micros;
      undisturbed++;
    }
  }

  /** Adds what another second counted. */
  void add(ServiceSecond other) {
    requests += other.requests;
    inTime += other.inTime;
    late += other.late;
    left += other.left;
    furtherSends += other.furtherSends;
    slotMicros += other.slotMicros;
    unusedMicros += other.unusedMicros;
    undisturbedMicros += other.undisturbedMicros;
    undisturbed += other.undisturbed;
    other.unserved.forEach((outcome, count) -> unserved.merge(outcome, count, Integer::sum));
  }

  int requests() {
    return requests;
  }

  int inTime() {
    return inTime;
  }

  /** The counts as pairs; slot time is in milliseconds for each answer. */
  String text() {
    int answers = inTime + late;
    double each = answers == 0 ? 0 : slotMicros / answers / MICROS_PER_MILLI;
    double usual = undisturbed == 0 ? 0 : undisturbedMicros / undisturbed / MICROS_PER_MILLI;
    double unused = slotMicros == 0 ? 0 : unusedMicros / slotMicros;
    return String.format(
        Locale.ROOT,
        "requests=%d in_time=%d late=%d left=%d further_sends=%d slot_ms=%.0f undisturbed_ms=%.0f"
            + " unused=%.2f unserved=%s",
        requests,
        inTime,
        late,
        left,
        furtherSends,
        each,
        usual,
        unused,
        unserved.toString().replace(" ", ""));
  }
}
