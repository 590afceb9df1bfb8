package org.magnoliaswitch.bench.report;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.magnoliaswitch.bench.LoadResult;

/** Reports the latency and CPU time that one instance adds to requests. */
final class OverheadReport {
  private static final double MIN_GOODPUT_SHARE = 0.99;
  private static final double MICROS_PER_CPU_TICK = 10_000;

  /** The results at one request rate. */
  record Row(
      double rate, double addedP50, double addedP99, double cpuMicros, double goodputShare) {}

  private OverheadReport() {}

  static void run(RunDirectory directory) throws IOException {
    List<RunDirectory.Run> runs = directory.runs();
    Map<String, Double> ticks = new LinkedHashMap<>();
    for (String line : directory.lines("cpu.txt")) {
      String[] fields = line.split(" ", -1);
      ticks.put(fields[0] + '-' + fields[1], Double.valueOf(fields[2]));
    }
    List<Row> rows = new ArrayList<>();
    for (double rate : new TreeSet<>(runs.stream().map(RunDirectory.Run::level).toList())) {
      rows.add(row(rate, runs, ticks));
    }
    System.out.printf(
        "%8s %12s %12s %14s %10s%n", "rate/s", "added p50", "added p99", "cpu us/req", "goodput");
    for (Row row : rows) {
      System.out.printf(
          "%8.0f %10.3fms %10.3fms %14.1f %9.1f%%%n",
          row.rate(), row.addedP50(), row.addedP99(), row.cpuMicros(), 100 * row.goodputShare());
    }
    finish(directory, rows);
  }

  private static void finish(RunDirectory directory, List<Row> rows) throws IOException {
    double saturation =
        rows.stream()
            .filter(r -> r.goodputShare() >= MIN_GOODPUT_SHARE)
            .mapToDouble(Row::rate)
            .max()
            .orElse(0);
    Row halfLoad =
        rows.stream()
            .min(
                (a, b) ->
                    Double.compare(
                        Math.abs(a.rate() - saturation / 2), Math.abs(b.rate() - saturation / 2)))
            .orElseThrow();
    directory.summary(rows);
    List<Double> x = rows.stream().map(Row::rate).toList();
    Plots.lines(
        directory.file("overhead.png"),
        "added latency of one entry on two cores",
        "requests/s",
        "ms",
        Map.of(
            "added p50", new Plots.Line(x, rows.stream().map(Row::addedP50).toList()),
            "added p99", new Plots.Line(x, rows.stream().map(Row::addedP99).toList())));
    System.out.printf(
        "overhead: added_p50_ms=%.2f added_p99_ms=%.2f cpu_us_per_request=%.0f max_rps=%.0f (at %.0f/s)%n",
        halfLoad.addedP50(),
        halfLoad.addedP99(),
        halfLoad.cpuMicros(),
        saturation,
        halfLoad.rate());
  }

  private static Row row(double rate, List<RunDirectory.Run> runs, Map<String, Double> ticks) {
    List<Double> p50 = new ArrayList<>();
    List<Double> p99 = new ArrayList<>();
    List<Double> cpu = new ArrayList<>();
    List<Double> share = new ArrayList<>();
    for (RunDirectory.Run through : runs) {
      if (through.level() != rate || !through.variant().equals("through")) {
        continue;
      }
      LoadResult direct =
          runs.stream()
              .filter(
                  r ->
                      r.variant().equals("direct")
                          && r.level() == rate
                          && r.repeat() == through.repeat())
              .findFirst()
              .orElseThrow()
              .result();
      LoadResult result = through.result();
      p50.add(result.p50Millis() - direct.p50Millis());
      p99.add(result.p99Millis() - direct.p99Millis());
      double usedTicks = ticks.getOrDefault((long) rate + "-" + through.repeat(), 0.0);
      cpu.add(usedTicks * MICROS_PER_CPU_TICK / Math.max(1, result.offered()));
      share.add((double) (result.answered() - result.late()) / result.offered());
    }
    return new Row(rate, median(p50), median(p99), median(cpu), median(share));
  }

  private static double median(List<Double> values) {
    return Statistics.of(values, Double::doubleValue).median();
  }
}
