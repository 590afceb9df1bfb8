package org.magnoliaswitch.operator;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counters of the requests of one service that ended within one second. */
final class ServiceSecond {
  private static final double MICROS_PER_MILLI = 1_000;

  private int requests;
  private int inTime;
  private int late;
  private int callerLeft;
  private int furtherAttempts;
  private double slotMicros;
  private double unusedMicros;
  private double undisturbedMicros;
  private int undisturbedAttempts;
  private final Map<String, Integer> unserved = new TreeMap<>();

  /** Counts an answered request. */
  void addAnswered(boolean withinObjective) {
    requests++;
    inTime += withinObjective ? 1 : 0;
    late += withinObjective ? 0 : 1;
  }

  /** Counts a request whose caller disconnected before the response. */
  void addCallerLeft() {
    requests++;
    callerLeft++;
  }

  /** Counts a request that ended with another outcome. */
  void addUnserved(String outcome) {
    requests++;
    unserved.merge(outcome, 1, Integer::sum);
  }

  /**
   * Counts an attempt.
   *
   * @param micros slot time from the start of the attempt to the end of its request
   * @param used whether the response of the attempt reached the caller
   * @param further whether it is a retry or a hedge
   * @param undisturbedServer whether the server reported that it was undisturbed
   */
  void addAttempt(double micros, boolean used, boolean further, boolean undisturbedServer) {
    furtherAttempts += further ? 1 : 0;
    slotMicros += micros;
    unusedMicros += used ? 0 : micros;
    if (used && undisturbedServer) {
      undisturbedMicros += micros;
      undisturbedAttempts++;
    }
  }

  /** Adds the counters of another second. */
  void add(ServiceSecond other) {
    requests += other.requests;
    inTime += other.inTime;
    late += other.late;
    callerLeft += other.callerLeft;
    furtherAttempts += other.furtherAttempts;
    slotMicros += other.slotMicros;
    unusedMicros += other.unusedMicros;
    undisturbedMicros += other.undisturbedMicros;
    undisturbedAttempts += other.undisturbedAttempts;
    other.unserved.forEach((outcome, count) -> unserved.merge(outcome, count, Integer::sum));
  }

  int requests() {
    return requests;
  }

  int inTime() {
    return inTime;
  }

  /** Returns the counters as key=value pairs. Slot time is in milliseconds per answered request. */
  String text() {
    int answered = inTime + late;
    double slotMillis = answered == 0 ? 0 : slotMicros / answered / MICROS_PER_MILLI;
    double undisturbedMillis =
        undisturbedAttempts == 0 ? 0 : undisturbedMicros / undisturbedAttempts / MICROS_PER_MILLI;
    double unusedShare = slotMicros == 0 ? 0 : unusedMicros / slotMicros;
    return String.format(
        Locale.ROOT,
        "requests=%d in_time=%d late=%d left=%d further_sends=%d slot_ms=%.0f undisturbed_ms=%.0f"
            + " unused=%.2f unserved=%s",
        requests,
        inTime,
        late,
        callerLeft,
        furtherAttempts,
        slotMillis,
        undisturbedMillis,
        unusedShare,
        unserved.toString().replace(" ", ""));
  }
}
