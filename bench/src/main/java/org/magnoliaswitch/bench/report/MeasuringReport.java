package org.magnoliaswitch.bench.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.bench.LoadResult;

/**
 * Compares the probes in every time window with the probe budget, and reports the latency cost of
 * the budget.
 */
final class MeasuringReport {
  private static final List<String> PHASES = List.of("steady", "surge", "doubled", "list-out");
  private static final double SLOTS_PER_SERVER = 6;

  /**
   * The results of one phase.
   *
   * @param phase name of the phase
   * @param probes probes of all servers together
   * @param peakPerSecond largest number of probes of one server in any window, per second
   * @param windowsOver number of windows that exceed the budget
   * @param slotSharePercent slot time spent on probes as a percentage of the slot time of all
   *     servers
   */
  record Row(
      String phase, long probes, double peakPerSecond, long windowsOver, double slotSharePercent) {}

  private MeasuringReport() {}

  static boolean run(RunDirectory directory) throws IOException {
    String[] budget = directory.lines("budget.txt").getFirst().split(" ", -1);
    double perSecond = Double.parseDouble(budget[0]);
    long windowMillis = (long) Math.ceil(1_000 * Double.parseDouble(budget[1]) / perSecond);
    List<Row> rows = new ArrayList<>();
    for (String phase : PHASES) {
      rows.add(row(directory, phase, perSecond, windowMillis));
    }
    System.out.printf(
        "%-10s %8s %14s %13s %14s%n",
        "phase", "probes", "peak per s", "windows over", "slot share %");
    rows.forEach(
        r ->
            System.out.printf(
                "%-10s %8d %14.2f %13d %14.4f%n",
                r.phase(), r.probes(), r.peakPerSecond(), r.windowsOver(), r.slotSharePercent()));
    double ratio = p99(directory, "budget") / p99(directory, "unlimited");
    directory.summary(rows);
    Plots.bars(
        directory.file("measuring.png"),
        "most probes of one server per second, window " + windowMillis + " ms",
        "probes/s",
        PHASES,
        Map.of(
            "peak",
            rows.stream().map(Row::peakPerSecond).toList(),
            "budget",
            PHASES.stream().map(p -> perSecond).toList()));
    long windowsOverBudget = rows.stream().mapToLong(Row::windowsOver).sum();
    System.out.printf(
        "measuring: budget_per_target_per_s=%.1f peak_per_target_per_s=%.2f windows_over_budget=%d "
            + "slot_share_pct=%.4f p99_vs_unlimited_probing=%.2f%n",
        perSecond,
        rows.stream().mapToDouble(Row::peakPerSecond).max().orElse(0),
        windowsOverBudget,
        rows.stream().mapToDouble(Row::slotSharePercent).max().orElse(0),
        ratio);
    return windowsOverBudget == 0;
  }

  private static Row row(RunDirectory directory, String phase, double perSecond, long windowMillis)
      throws IOException {
    JsonNode servers = directory.json("probes-" + phase + ".json");
    long allowed = (long) Math.floor(perSecond * windowMillis / 1_000 + 1e-9);
    long peak = 0;
    long windowsOverBudget = 0;
    long total = 0;
    for (JsonNode server : servers) {
      List<Long> times = new ArrayList<>();
      server.forEach(time -> times.add(time.asLong()));
      times.sort(Long::compare);
      total += times.size();
      int end = 0;
      for (int start = 0; start < times.size(); start++) {
        while (end < times.size() && times.get(end) < times.get(start) + windowMillis) {
          end++;
        }
        peak = Math.max(peak, end - start);
        windowsOverBudget += end - start > allowed ? 1 : 0;
      }
    }
    double seconds = directory.result(phase + ".json").seconds();
    double probing =
        directory.json("after-" + phase + ".json").get("probeSeconds").asDouble()
            - directory.json("before-" + phase + ".json").get("probeSeconds").asDouble();
    double share = 100 * probing / (seconds * SLOTS_PER_SERVER * servers.size());
    return new Row(phase, total, peak * 1_000.0 / windowMillis, windowsOverBudget, share);
  }

  private static double p99(RunDirectory directory, String variant) throws IOException {
    return Statistics.of(
            directory.runs().stream()
                .filter(r -> r.variant().equals(variant))
                .map(RunDirectory.Run::result)
                .toList(),
            LoadResult::p99Millis)
        .median();
  }
}
