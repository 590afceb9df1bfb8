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

/** Each fault and pair of faults: goodput, latency, errors and times to notice and to come back. */
final class FaultsReport {
  private static final double ONSET = 1.2;
  private static final double END = 4.0;
  private static final double GOOD = 0.995;
  private static final double USUAL_FACTOR = 2.0;
  private static final double MILLIS = 1_000;
  private static final String PRODUCT = "fresh_load";

  /**
   * One case.
   *
   * @param policy routing policy
   * @param fault fault or pair
   * @param goodputRatio goodput against the same policy without a fault
   * @param p99Millis latency over the run
   * @param errorPercent requests without a whole answer in time
   * @param noticeMillis from the first disturbed slice to the last one while the fault lasts
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
          LoadResult none = results.get(policy + "-none");
          if (!fault.equals("none") && none != null) {
            rows.add(row(policy, fault, result, none));
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
    List<Row> own = rows.stream().filter(r -> r.policy().equals(PRODUCT)).toList();
    Plots.bars(
        directory.file("faults.png"),
        "p99 of the product's policy by fault",
        "ms",
        own.stream().map(Row::fault).toList(),
        Map.of("p99", own.stream().map(Row::p99Millis).toList()));
    System.out.printf(
        "faults: cases=%d worst_goodput_ratio=%.3f median_notice_ms=%.0f%n",
        rows.size(),
        own.stream().mapToDouble(Row::goodputRatio).min().orElse(Double.NaN),
        Statistics.of(own, Row::noticeMillis).median());
  }

  private static Row row(String policy, String fault, LoadResult result, LoadResult none) {
    double usual = Statistics.of(none.series(), LoadResult.Slice::p99Millis).median();
    double first = Double.NaN;
    double last = Double.NaN;
    for (LoadResult.Slice slice : result.series()) {
      boolean disturbed =
          slice.inTime() < GOOD * slice.offered() || slice.p99Millis() > USUAL_FACTOR * usual;
      if (disturbed && slice.atSeconds() >= ONSET && slice.atSeconds() < END) {
        first = Double.isNaN(first) ? slice.atSeconds() : first;
        last = slice.atSeconds() + 0.2;
      }
    }
    double notice = Double.isNaN(first) ? 0 : (last - first) * MILLIS;
    long inTime = result.answered() - result.late();
    return new Row(
        policy,
        fault,
        result.goodput() / none.goodput() * none.offered() / result.offered(),
        result.p99Millis(),
        100.0 * (result.offered() - inTime) / result.offered(),
        notice);
  }
}
