package org.magnoliaswitch.bench.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.magnoliaswitch.bench.LoadResult;

/**
 * Reports goodput, latency, errors and the duration of the disturbance for each fault and pair of
 * faults.
 */
final class FaultsReport {
  private static final double FAULT_START_SECONDS = 1.2;
  private static final double FAULT_END_SECONDS = 4.0;
  private static final double MIN_IN_TIME_SHARE = 0.995;
  private static final double MAX_P99_RATIO = 2.0;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final String PRODUCT_POLICY = "fresh_load";

  /**
   * The results for one routing policy and one fault.
   *
   * @param policy routing policy
   * @param fault fault or pair of faults
   * @param goodputRatio goodput relative to the same policy without a fault
   * @param p99Millis 99th percentile of latency over the run
   * @param errorPercent percentage of requests without a complete answer in time
   * @param noticeMillis time from the first to the last disturbed slice during the fault
   */
  record Row(
      String policy,
      String fault,
      double goodputRatio,
      double p99Millis,
      double errorPercent,
      double noticeMillis) {}

  private FaultsReport() {}

  static void run(RunDirectory directory) throws IOException {
    Map<String, LoadResult> results = new TreeMap<>();
    try (Stream<Path> files = Files.list(directory.file("."))) {
      for (Path file : files.toList()) {
        String name = file.getFileName().toString();
        if (name.endsWith(".json")
            && !name.endsWith(".scenario.json")
            && name.contains("-")
            && !name.startsWith("warm")) {
          results.put(name.replace(".json", ""), directory.result(name));
        }
      }
    }
    List<Row> rows = new ArrayList<>();
    results.forEach(
        (name, result) -> {
          String policy = name.substring(0, name.indexOf('-'));
          String fault = name.substring(name.indexOf('-') + 1);
          LoadResult withoutFault = results.get(policy + "-none");
          if (!fault.equals("none") && withoutFault != null) {
            rows.add(row(policy, fault, result, withoutFault));
          }
        });
    System.out.printf(
        "%-16s %-24s %14s %10s %9s %10s%n",
        "policy", "fault", "goodput ratio", "p99 ms", "errors %", "notice ms");
    rows.forEach(
        r ->
            System.out.printf(
                "%-16s %-24s %14.3f %10.1f %9.3f %10.0f%n",
                r.policy(),
                r.fault(),
                r.goodputRatio(),
                r.p99Millis(),
                r.errorPercent(),
                r.noticeMillis()));
    directory.summary(rows);
    List<Row> productRows = rows.stream().filter(r -> r.policy().equals(PRODUCT_POLICY)).toList();
    Plots.bars(
        directory.file("faults.png"),
        "p99 of the product's policy by fault",
        "ms",
        productRows.stream().map(Row::fault).toList(),
        Map.of("p99", productRows.stream().map(Row::p99Millis).toList()));
    System.out.printf(
        "faults: cases=%d worst_goodput_ratio=%.3f median_notice_ms=%.0f%n",
        rows.size(),
        productRows.stream().mapToDouble(Row::goodputRatio).min().orElse(Double.NaN),
        Statistics.of(productRows, Row::noticeMillis).median());
  }

  private static Row row(String policy, String fault, LoadResult result, LoadResult withoutFault) {
    double usualP99 = Statistics.of(withoutFault.series(), LoadResult.Slice::p99Millis).median();
    double first = Double.NaN;
    double last = Double.NaN;
    for (LoadResult.Slice slice : result.series()) {
      boolean disturbed =
          slice.inTime() < MIN_IN_TIME_SHARE * slice.offered()
              || slice.p99Millis() > MAX_P99_RATIO * usualP99;
      if (disturbed
          && slice.atSeconds() >= FAULT_START_SECONDS
          && slice.atSeconds() < FAULT_END_SECONDS) {
        first = Double.isNaN(first) ? slice.atSeconds() : first;
        last = slice.atSeconds() + 0.2;
      }
    }
    double notice = Double.isNaN(first) ? 0 : (last - first) * MILLIS_PER_SECOND;
    long inTime = result.answered() - result.late();
    return new Row(
        policy,
        fault,
        result.goodput() / withoutFault.goodput() * withoutFault.offered() / result.offered(),
        result.p99Millis(),
        100.0 * (result.offered() - inTime) / result.offered(),
        notice);
  }
}
