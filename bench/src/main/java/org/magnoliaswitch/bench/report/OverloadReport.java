package org.magnoliaswitch.bench.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.bench.LoadResult;

/** Reports goodput, weighted service, late answers, recovery time and retries under overload. */
final class OverloadReport {
  private static final double OVERLOAD_START_SECONDS = 3;
  private static final double OVERLOAD_END_SECONDS = 8;
  private static final double RECOVERED_SHARE = 0.99;

  /** The results with or without weights at one multiple of the capacity. */
  record Row(
      boolean weighted,
      double level,
      Statistics goodput,
      Statistics weightedShare,
      Statistics latePercent,
      Statistics recoverySeconds) {}

  private OverloadReport() {}

  static void run(RunDirectory directory) throws IOException {
    double capacity = Double.parseDouble(directory.lines("capacity.txt").getFirst());
    List<RunDirectory.Run> runs = directory.runs();
    List<Row> rows = new ArrayList<>();
    for (double level : new double[] {1, 2, 3}) {
      for (String variant : List.of("true", "false")) {
        List<LoadResult> results =
            runs.stream()
                .filter(r -> r.variant().equals(variant) && r.level() == level)
                .map(RunDirectory.Run::result)
                .toList();
        rows.add(
            new Row(
                variant.equals("true"),
                level,
                Statistics.of(results, OverloadReport::goodputDuringOverload),
                Statistics.of(results, LoadResult::weighted),
                Statistics.of(results, OverloadReport::latePercent),
                Statistics.of(results, OverloadReport::recovery)));
      }
    }
    System.out.printf(
        "%-9s %5s %28s %22s %20s %20s%n",
        "weighted", "x", "goodput/s", "weighted share", "late %", "recovery s");
    rows.forEach(
        r ->
            System.out.printf(
                "%-9s %5.0f %28s %22s %20s %20s%n",
                r.weighted(),
                r.level(),
                r.goodput(),
                r.weightedShare(),
                r.latePercent(),
                r.recoverySeconds()));
    finish(directory, rows, capacity);
  }

  private static void finish(RunDirectory directory, List<Row> rows, double capacity)
      throws IOException {
    directory.summary(rows);
    Map<String, List<Double>> bars = new LinkedHashMap<>();
    for (boolean weighted : new boolean[] {true, false}) {
      bars.put(
          weighted ? "weighted" : "unweighted",
          rows.stream()
              .filter(r -> r.weighted() == weighted)
              .map(r -> r.weightedShare().median())
              .toList());
    }
    Plots.bars(
        directory.file("overload.png"),
        "harm weight served",
        "share",
        List.of("1x", "2x", "3x"),
        bars);
    Row doubleLoad = find(rows, true, 2);
    System.out.printf(
        "overload: goodput_at_2x_vs_capacity=%.3f weighted_service_vs_unweighted=%.2f late_answers_pct=%.3f "
            + "recovery_s=%.1f retry_amplification=%.2f%n",
        doubleLoad.goodput().median() / capacity,
        doubleLoad.weightedShare().median() / find(rows, false, 2).weightedShare().median(),
        rows.stream()
            .filter(Row::weighted)
            .mapToDouble(r -> r.latePercent().median())
            .max()
            .orElse(0),
        rows.stream()
            .filter(Row::weighted)
            .mapToDouble(r -> r.recoverySeconds().median())
            .max()
            .orElse(0),
        amplification(directory));
  }

  private static Row find(List<Row> rows, boolean weighted, double level) {
    return rows.stream()
        .filter(r -> r.weighted() == weighted && r.level() == level)
        .findFirst()
        .orElseThrow();
  }

  private static double goodputDuringOverload(LoadResult result) {
    long inTime =
        result.series().stream()
            .filter(
                s ->
                    s.atSeconds() >= OVERLOAD_START_SECONDS && s.atSeconds() < OVERLOAD_END_SECONDS)
            .mapToLong(LoadResult.Slice::inTime)
            .sum();
    return inTime / (OVERLOAD_END_SECONDS - OVERLOAD_START_SECONDS);
  }

  private static double latePercent(LoadResult result) {
    return 100.0 * result.late() / Math.max(1, result.answered());
  }

  /** Returns the time after the overload until nearly all requests are answered in time again. */
  private static double recovery(LoadResult result) {
    for (LoadResult.Slice slice : result.series()) {
      if (slice.atSeconds() >= OVERLOAD_END_SECONDS
          && slice.inTime() >= RECOVERED_SHARE * slice.offered()) {
        return slice.atSeconds() - OVERLOAD_END_SECONDS;
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the requests received by backend servers per executed request, including retries of
   * callers.
   */
  private static double amplification(RunDirectory directory) throws IOException {
    List<Double> ratios = new ArrayList<>();
    for (int repeat = 1; directory.has("before-" + repeat + ".json"); repeat++) {
      JsonNode before = directory.json("before-" + repeat + ".json");
      JsonNode after = directory.json("after-" + repeat + ".json");
      double executed = sum(after, "executed") - sum(before, "executed");
      double rejected =
          sum(after, "shed") - sum(before, "shed") + sum(after, "expired") - sum(before, "expired");
      ratios.add((executed + rejected) / executed);
    }
    return Statistics.of(ratios, Double::doubleValue).median();
  }

  private static double sum(JsonNode statistics, String field) {
    double sum = 0;
    for (JsonNode server : statistics.get("servers")) {
      sum += server.get(field).asDouble();
    }
    return sum;
  }
}
