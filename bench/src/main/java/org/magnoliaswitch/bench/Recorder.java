package org.magnoliaswitch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Collects the verdicts and latencies of a run of the load tool. */
final class Recorder {
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(5);
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Length of a time slice in the report. */
  static final double SLICE_SECONDS = 0.2;

  private static final double MICROS_PER_MILLI = 1_000.0;

  private static final class Bucket {
    private final LongAdder offered = new LongAdder();
    private final LongAdder inTime = new LongAdder();
    private final Histogram latency = new ConcurrentHistogram(MAX_MICROS, 2);
  }

  private final Histogram latency = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Map<Verdict, LongAdder> verdicts = new ConcurrentHashMap<>();
  private final Map<String, Bucket> kinds = new ConcurrentHashMap<>();
  private final Map<Integer, Bucket> slices = new ConcurrentSkipListMap<>();
  private final Map<String, Verdict> byOperation = new ConcurrentHashMap<>();
  private final LongAdder late = new LongAdder();
  private final LongAdder tries = new LongAdder();

  void recordOffered(Scenario.LoadKind kind, int slice) {
    kind(kind).offered.increment();
    slice(slice).offered.increment();
  }

  void recordAttempt() {
    tries.increment();
  }

  void recordOutcome(
      Scenario.LoadKind kind, int slice, String operation, Verdict verdict, long latencyNanos) {
    verdicts.computeIfAbsent(verdict, v -> new LongAdder()).increment();
    if (kind.keys() != Scenario.Keys.NONE) {
      byOperation.put(operation, verdict);
    }
    if (verdict != Verdict.EXECUTED) {
      return;
    }
    long micros = Math.clamp(TimeUnit.NANOSECONDS.toMicros(latencyNanos), 1, MAX_MICROS);
    latency.recordValue(micros);
    if (latencyNanos > TimeUnit.MILLISECONDS.toNanos(kind.deadlineMillis())) {
      late.increment();
      return;
    }
    for (Bucket bucket : List.of(kind(kind), slice(slice))) {
      bucket.inTime.increment();
      bucket.latency.recordValue(micros);
    }
  }

  long count(Verdict verdict) {
    LongAdder adder = verdicts.get(verdict);
    return adder == null ? 0 : adder.sum();
  }

  Map<String, Verdict> byOperation() {
    return byOperation;
  }

  LoadResult result(Scenario scenario, double length, LoadResult.Truth truth) {
    long offered = kinds.values().stream().mapToLong(b -> b.offered.sum()).sum();
    long inTime = kinds.values().stream().mapToLong(b -> b.inTime.sum()).sum();
    Map<String, LoadResult.KindResult> byKind = new TreeMap<>();
    kinds.forEach(
        (name, b) ->
            byKind.put(
                name, new LoadResult.KindResult(b.offered.sum(), b.inTime.sum(), millis(b, 99))));
    List<LoadResult.Slice> series = new ArrayList<>();
    slices.forEach(
        (slice, b) ->
            series.add(
                new LoadResult.Slice(
                    slice * SLICE_SECONDS, b.offered.sum(), b.inTime.sum(), millis(b, 99))));
    return new LoadResult(
        length,
        offered,
        count(Verdict.EXECUTED),
        late.sum(),
        count(Verdict.NOT_EXECUTED),
        count(Verdict.UNKNOWN),
        count(Verdict.WRONG),
        count(Verdict.NO_ANSWER),
        inTime / length,
        weighted(scenario),
        tries.sum(),
        millis(50),
        millis(90),
        millis(99),
        millis(99.9),
        millis(100),
        byKind,
        series,
        truth);
  }

  private double weighted(Scenario scenario) {
    double servedWeight = 0;
    double offeredWeight = 0;
    for (Scenario.LoadKind kind : scenario.kinds()) {
      Bucket bucket = kind(kind);
      servedWeight += kind.weight() * bucket.inTime.sum();
      offeredWeight += kind.weight() * bucket.offered.sum();
    }
    return offeredWeight == 0 ? 0 : servedWeight / offeredWeight;
  }

  private double millis(double percentile) {
    return latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private static double millis(Bucket bucket, double percentile) {
    return bucket.latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private Bucket kind(Scenario.LoadKind kind) {
    return kinds.computeIfAbsent(kind.name(), k -> new Bucket());
  }

  private Bucket slice(int slice) {
    return slices.computeIfAbsent(slice, s -> new Bucket());
  }
}
