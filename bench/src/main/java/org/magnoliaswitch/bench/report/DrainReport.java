package org.magnoliaswitch.bench.report;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.bench.LoadResult;

/**
 * Reports on planned stops: truncated answers, errors, and the time until a stopping server
 * receives no new requests.
 */
final class DrainReport {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private DrainReport() {}

  static boolean run(RunDirectory directory) throws IOException {
    Map<String, Long> stopMillis = new HashMap<>();
    for (String line : directory.lines("left.txt")) {
      String[] fields = line.split(" ", -1);
      stopMillis.put(fields[0], Long.valueOf(fields[2]));
    }
    double maxNewWork = 0;
    System.out.printf("%-12s %-10s %16s%n", "server", "way", "new work until s");
    for (String line : directory.lines("last-work.txt")) {
      String[] fields = line.split(" ", -1);
      double after = (Long.parseLong(fields[2]) - stopMillis.get(fields[0])) / MILLIS_PER_SECOND;
      maxNewWork = Math.max(maxNewWork, after);
      System.out.printf("%-12s %-10s %16.2f%n", fields[0], fields[1], after);
    }
    List<String> exits = directory.lines("entry-exits.txt");
    exits.forEach(System.out::println);
    long failedExits = exits.stream().filter(line -> !line.endsWith(" 0")).count();
    LoadResult result = directory.result("rolling.json");
    long cut = result.wrong() + result.noAnswer() + result.unknown();
    long errors = result.offered() - result.answered() - cut + result.late();
    directory.summary(Map.of("newWorkAfterSeconds", maxNewWork, "cut", cut, "errors", errors));
    System.out.printf(
        "drain: stops=%d cut=%d errors=%d new_work_after_s=%.2f (requests %d, bad exits %d)%n",
        stopMillis.size() + exits.size(), cut, errors, maxNewWork, result.offered(), failedExits);
    return cut == 0 && errors == 0 && failedExits == 0;
  }
}
