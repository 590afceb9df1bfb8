package org.magnoliaswitch.bench.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.bench.LoadResult;

/** Probes against their budget in every window, and what the budget costs in latency. */
final class MeasuringReport {
  private static final List<String> PHASES = List.of("steady", "surge", "doubled", "list-out");
  private static final double SLOTS = 6;

  /**
   * One phase.
   *
   * @param phase its name
   * @param probes probes of all servers
   * @param peakPerSecond most probes of one server in any window, per second
   * @param windowsOver windows over the budget
   * @param slotSharePercent time spent on probes as a share of all slot time
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
    long over = rows.stream().mapToLong(Row::windowsOver).sum();
    System.out.printf(
        "measuring: budget_per_target_per_s=%.1f peak_per_target_per_s=%.2f windows_over_budget=%d "
            + "slot_share_pct=%.4f p99_vs_unlimited_probing=%.2f%n",
        perSecond,
        rows.stream().mapToDouble(Row::peakPerSecond).max().orElse(0),
        over,
        rows.stream().mapToDouble(Row::slotSharePercent).max().orElse(0),
        ratio);
    return over == 0;
  }

  private static Row row(RunDirectory directory, String phase, double perSecond, long windowMillis)
      throws IOException {
    JsonNode servers = directory.json("probes-" + phase + ".json");
    long allowed = (long) Math.floor(perSecond * windowMillis / 1_000 + 1e-9);
    long peak = 0;
    long over = 0;
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
        over += end - start > allowed ? 1 : 0;
      }
    }
    double seconds = directory.result(phase + ".json").seconds();
    double probing =
        directory.json("after-" + phase + ".json").get("probeSeconds").asDouble()
            - directory.json("before-" + phase + ".json").get("probeSeconds").asDouble();
    double share = 100 * probing / (seconds * SLOTS * servers.size());
    return new Row(phase, total, peak * 1_000.0 / windowMillis, over, share);
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
