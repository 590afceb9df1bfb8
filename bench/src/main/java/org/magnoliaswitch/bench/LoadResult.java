package org.magnoliaswitch.bench;

import java.util.List;
import java.util.Map;

/**
 * The result of a run of the load tool.
 *
 * @param seconds length of the run
 * @param offered requests started
 * @param answered complete and correct answers
 * @param late complete and correct answers after the deadline
 * @param notExecuted requests reported as not executed
 * @param unknown requests reported as unknown
 * @param wrong answers that belong to another request or are incomplete
 * @param noAnswer requests whose connection failed
 * @param goodput complete and correct answers in time, per second
 * @param weighted harm weight of the requests answered in time, as a share of the harm weight of
 *     all requests
 * @param tries attempts of callers, including retries
 * @param p50Millis median latency of answers, measured from the intended start
 * @param p90Millis 90th percentile of latency
 * @param p99Millis 99th percentile of latency
 * @param p999Millis 99.9th percentile of latency
 * @param maxMillis maximum latency
 * @param byKind results by kind of request
 * @param series results by time slice
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
   * The results of one kind of request.
   *
   * @param offered requests started
   * @param inTime complete and correct answers in time
   * @param p99Millis 99th percentile of the latency of these answers
   */
  public record KindResult(long offered, long inTime, double p99Millis) {}

  /**
   * The results of one time slice.
   *
   * @param atSeconds start of the slice; requests are assigned to slices by their intended start
   * @param offered requests started
   * @param inTime complete and correct answers in time
   * @param p99Millis 99th percentile of the latency of these answers
   */
  public record Slice(double atSeconds, long offered, long inTime, double p99Millis) {}

  /**
   * Differences between the outcomes reported to callers and the executions of the stand-ins.
   *
   * @param executedTwice number of operations executed more than once
   * @param toldNotExecutedButRan number of executed operations that were reported as not executed
   * @param toldExecutedButNot number of operations reported as executed that were not executed
   */
  public record Truth(long executedTwice, long toldNotExecutedButRan, long toldExecutedButNot) {
    /** No differences; also used if no comparison was requested. */
    public static final Truth NONE = new Truth(0, 0, 0);
  }
}
