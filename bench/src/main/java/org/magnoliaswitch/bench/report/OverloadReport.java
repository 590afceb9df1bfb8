package org.magnoliaswitch.bench.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.bench.LoadResult;

/** Goodput, weighted service, late answers, recovery and retries under overload. */
final class OverloadReport {
  private static final double HOLD_FROM = 3;
  private static final double HOLD_TO = 8;
  private static final double SERVED = 0.99;

  /** One variant at one level. */
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
                Statistics.of(results, OverloadReport::holdGoodput),
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
    Row at2 = find(rows, true, 2);
    System.out.printf(
        "overload: goodput_at_2x_vs_capacity=%.3f weighted_service_vs_unweighted=%.2f late_answers_pct=%.3f "
            + "recovery_s=%.1f retry_amplification=%.2f%n",
        at2.goodput().median() / capacity,
        at2.weightedShare().median() / find(rows, false, 2).weightedShare().median(),
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

  private static double holdGoodput(LoadResult result) {
    long inTime =
        result.series().stream()
            .filter(s -> s.atSeconds() >= HOLD_FROM && s.atSeconds() < HOLD_TO)
            .mapToLong(LoadResult.Slice::inTime)
            .sum();
    return inTime / (HOLD_TO - HOLD_FROM);
  }

  private static double latePercent(LoadResult result) {
    return 100.0 * result.late() / Math.max(1, result.answered());
  }

  /** Time after the overload until requests are served again as they begin. */
  private static double recovery(LoadResult result) {
    for (LoadResult.Slice slice : result.series()) {
      if (slice.atSeconds() >= HOLD_TO && slice.inTime() >= SERVED * slice.offered()) {
        return slice.atSeconds() - HOLD_TO;
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  /** Requests that reached backend servers for each one executed, while callers retry as well. */
  private static double amplification(RunDirectory directory) throws IOException {
    List<Double> ratios = new ArrayList<>();
    for (int repeat = 1; directory.has("before-" + repeat + ".json"); repeat++) {
      JsonNode before = directory.json("before-" + repeat + ".json");
      JsonNode after = directory.json("after-" + repeat + ".json");
      double executed = sum(after, "executed") - sum(before, "executed");
      double refused =
          sum(after, "shed") - sum(before, "shed") + sum(after, "expired") - sum(before, "expired");
      ratios.add((executed + refused) / executed);
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
