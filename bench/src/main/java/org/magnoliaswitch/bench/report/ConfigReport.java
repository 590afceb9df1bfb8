package org.magnoliaswitch.bench.report;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.core.process.TimelineEvent;
import org.magnoliaswitch.core.version.Json;

/**
 * Reports on the configuration experiment: whether accepted changes were lost or reverted, and the
 * time until they were in force.
 */
final class ConfigReport {
  private static final double CPU_TICK_SECONDS = 0.01;
  private static final int ABOVE_ALL_VERSIONS = 1_000_000;

  private ConfigReport() {}

  static boolean run(RunDirectory directory) throws IOException {
    List<TimelineEvent> events = new ArrayList<>();
    for (String line : directory.lines("timeline.jsonl")) {
      events.add(Json.MAPPER.readValue(line, TimelineEvent.class));
    }
    VersionCheck check = VersionCheck.of(events);
    Map<String, Long> acceptedVersions = new HashMap<>();
    long doublyAccepted = 0;
    for (String line : directory.lines("accepted.txt")) {
      String[] fields = line.split(" ", -1);
      Long previous = acceptedVersions.put(fields[0], Long.valueOf(fields[1]));
      doublyAccepted += previous != null && !previous.equals(Long.valueOf(fields[1])) ? 1 : 0;
    }
    Map<String, Long> history = history(directory);
    long firstVersion =
        history.values().stream().mapToLong(Long::longValue).min().orElse(ABOVE_ALL_VERSIONS);
    long lost =
        acceptedVersions.entrySet().stream()
            .filter(
                e -> e.getValue() >= firstVersion && !e.getValue().equals(history.get(e.getKey())))
            .count();
    IdleCost idleCost = IdleCost.of(directory);
    System.out.printf(
        "changes told as accepted: %d, versions: %d, instances seen: %d%n",
        acceptedVersions.size(), history.size(), check.incarnations());
    directory.summary(Map.of("inForceSeconds", check.inForceSeconds()));
    Plots.lines(
        directory.file("config.png"),
        "seconds from accepted to in force, sorted",
        "observation",
        "s",
        Map.of("in force", sorted(check.inForceSeconds())));
    System.out.printf(
        "config: accepted=%d lost=%d reverted=%d doubly_accepted=%d in_force_p99_s=%.2f in_force_max_s=%.2f "
            + "control_bytes_per_s=%.0f control_cpu_pct=%.2f%n",
        acceptedVersions.size(),
        lost,
        check.reverted(),
        doublyAccepted,
        check.quantile(0.99),
        check.quantile(1),
        idleCost.bytesPerSecond(),
        idleCost.cpuPercent());
    return lost == 0 && check.reverted() == 0 && doublyAccepted == 0;
  }

  private static Map<String, Long> history(RunDirectory directory) throws IOException {
    Map<String, Long> history = new HashMap<>();
    for (String line : directory.lines("history.txt")) {
      String version = line.replaceFirst(".*version=([0-9]+) .*", "$1");
      history.put(line.replaceFirst(".*change=([^ ]*) .*", "$1"), Long.valueOf(version));
    }
    return history;
  }

  private static Plots.Line sorted(List<Double> values) {
    List<Double> y = values.stream().sorted().toList();
    List<Double> x = new ArrayList<>();
    for (int i = 0; i < y.size(); i++) {
      x.add((double) i);
    }
    return new Plots.Line(x, y);
  }

  /** Cost of the control plane per instance while no changes are made. */
  private record IdleCost(double bytesPerSecond, double cpuPercent) {
    static IdleCost of(RunDirectory directory) throws IOException {
      double seconds = Double.parseDouble(directory.lines("rest-seconds.txt").getFirst());
      List<String> before = directory.lines("rest-before.txt");
      List<String> after = directory.lines("rest-after.txt");
      double bytes = 0;
      double ticks = 0;
      for (int i = 0; i < before.size(); i++) {
        String[] first = before.get(i).split(" ", -1);
        String[] second = after.get(i).split(" ", -1);
        bytes += Double.parseDouble(second[1]) - Double.parseDouble(first[1]);
        ticks += Double.parseDouble(second[2]) - Double.parseDouble(first[2]);
      }
      int instances = before.size();
      return new IdleCost(
          bytes / seconds / instances, 100 * ticks * CPU_TICK_SECONDS / seconds / instances);
    }
  }
}
