package org.magnoliaswitch.bench;

import java.util.List;
import java.util.Map;

/**
 * What a run of the load tool found.
 *
 * @param seconds length of the run
 * @param offered requests begun
 * @param answered whole own answers
 * @param late whole own answers after the deadline
 * @param notExecuted callers told that it was not executed
 * @param unknown callers told that nobody knows
 * @param wrong answers that were not the caller's own whole one
 * @param noAnswer requests whose connection failed
 * @param goodput whole own answers in time, per second
 * @param weighted harm weight of answers in time as a share of the offered weight
 * @param tries requests sent, callers' own retries included
 * @param p50Millis median latency of answers from the intended start
 * @param p90Millis 90th percentile
 * @param p99Millis 99th percentile
 * @param p999Millis 99.9th percentile
 * @param maxMillis longest
 * @param byKind counts by kind
 * @param series counts by slice of time
 * @param truth comparison with what the stand-ins executed
 */
public record LoadResult(
    double seconds,
    long offered,
    long answered,
    long late,
    long notExecuted,
    long unknown,
    long wrong,
    long noAnswer,
    double goodput,
    double weighted,
    long tries,
    double p50Millis,
    double p90Millis,
    double p99Millis,
    double p999Millis,
    double maxMillis,
    Map<String, KindResult> byKind,
    List<Slice> series,
    Truth truth) {
  /**
   * Counts of one kind.
   *
   * @param offered requests begun
   * @param inTime whole own answers in time
   * @param p99Millis 99th percentile of their latency
   */
  public record KindResult(long offered, long inTime, double p99Millis) {}

  /**
   * Counts of one slice of time.
   *
   * @param atSeconds its start, by intended start of the requests
   * @param offered requests begun
   * @param inTime whole own answers in time
   * @param p99Millis 99th percentile of their latency
   */
  public record Slice(double atSeconds, long offered, long inTime, double p99Millis) {}

  /**
   * What callers were told against what ran.
   *
   * @param executedTwice operations executed more than once
   * @param toldNotExecutedButRan operations whose caller was told the contrary
   * @param toldExecutedButNot operations whose caller was told the contrary
   */
  public record Truth(long executedTwice, long toldNotExecutedButRan, long toldExecutedButNot) {
    /** No comparison was asked for. */
    public static final Truth NONE = new Truth(0, 0, 0);
  }
}
