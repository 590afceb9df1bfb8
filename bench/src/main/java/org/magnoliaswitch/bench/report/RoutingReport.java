package org.magnoliaswitch.bench.report;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.magnoliaswitch.bench.LoadResult;

/** Compares routing policies. */
final class RoutingReport {
  private static final List<String> POLICIES =
      List.of("round_robin", "least_requests", "fresh_load");

  /** The results of one policy at one load. */
  record Row(
      String policy,
      double load,
      Statistics p50,
      Statistics p99,
      Statistics p999,
      Statistics errors) {}

  private RoutingReport() {}

  static void run(RunDirectory directory) throws IOException {
    List<RunDirectory.Run> runs = directory.runs();
    List<Row> rows = new ArrayList<>();
    for (double load : new TreeSet<>(runs.stream().map(RunDirectory.Run::level).toList())) {
      for (String policy : POLICIES) {
        List<LoadResult> results =
            runs.stream()
                .filter(r -> r.level() == load && r.variant().equals(policy))
                .map(RunDirectory.Run::result)
                .toList();
        rows.add(
            new Row(
                policy,
                load,
                Statistics.of(results, LoadResult::p50Millis),
                Statistics.of(results, LoadResult::p99Millis),
                Statistics.of(results, LoadResult::p999Millis),
                Statistics.of(results, RoutingReport::errorPercent)));
      }
    }
    System.out.printf(
        "%-16s %6s %26s %26s %26s %22s%n",
        "policy", "load", "p50 ms", "p99 ms", "p99.9 ms", "errors %");
    rows.forEach(
        r ->
            System.out.printf(
                "%-16s %5.0f%% %26s %26s %26s %22s%n",
                r.policy(), r.load(), r.p50(), r.p99(), r.p999(), r.errors()));
    finish(directory, rows);
  }

  private static void finish(RunDirectory directory, List<Row> rows) throws IOException {
    directory.summary(rows);
    List<String> loads = rows.stream().map(r -> r.load() + "%").distinct().toList();
    Map<String, List<Double>> bars = new LinkedHashMap<>();
    for (String policy : POLICIES) {
      bars.put(
          policy,
          rows.stream().filter(r -> r.policy().equals(policy)).map(r -> r.p99().median()).toList());
    }
    Plots.bars(directory.file("routing.png"), "p99 by policy", "ms", loads, bars);
    System.out.printf(
        "routing: p99_vs_round_robin=%.2f p99_vs_least_requests=%.2f p999_vs_least_requests=%.2f errors=%.3f%%%n",
        worstRatio(rows, "round_robin", r -> r.p99().median()),
        worstRatio(rows, "least_requests", r -> r.p99().median()),
        worstRatio(rows, "least_requests", r -> r.p999().median()),
        rows.stream()
            .filter(r -> r.policy().equals("fresh_load"))
            .mapToDouble(r -> r.errors().median())
            .max()
            .orElse(Double.NaN));
  }

  /** Returns the largest ratio of the product to a baseline over all loads. */
  private static double worstRatio(List<Row> rows, String baseline, ToDoubleFunction<Row> measure) {
    double worstRatio = 0;
    for (Row product : rows) {
      if (product.policy().equals("fresh_load")) {
        Row baselineRow =
            rows.stream()
                .filter(r -> r.policy().equals(baseline) && r.load() == product.load())
                .findFirst()
                .orElseThrow();
        worstRatio =
            Math.max(
                worstRatio, measure.applyAsDouble(product) / measure.applyAsDouble(baselineRow));
      }
    }
    return worstRatio;
  }

  private static double errorPercent(LoadResult result) {
    return 100.0 * (result.offered() - result.answered() + result.late()) / result.offered();
  }
}
