package org.magnoliaswitch.bench.report;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.bench.LoadResult;

/** Planned stops: nothing cut, no errors, no new work after a few seconds. */
final class DrainReport {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private DrainReport() {}

  static boolean run(RunDirectory directory) throws IOException {
    Map<String, Long> left = new HashMap<>();
    for (String line : directory.lines("left.txt")) {
      String[] words = line.split(" ", -1);
      left.put(words[0], Long.valueOf(words[2]));
    }
    double newWork = 0;
    System.out.printf("%-12s %-10s %16s%n", "server", "way", "new work until s");
    for (String line : directory.lines("last-work.txt")) {
      String[] words = line.split(" ", -1);
      double after = (Long.parseLong(words[2]) - left.get(words[0])) / MILLIS_PER_SECOND;
      newWork = Math.max(newWork, after);
      System.out.printf("%-12s %-10s %16.2f%n", words[0], words[1], after);
    }
    List<String> exits = directory.lines("entry-exits.txt");
    exits.forEach(System.out::println);
    long badExits = exits.stream().filter(line -> !line.endsWith(" 0")).count();
    LoadResult result = directory.result("rolling.json");
    long cut = result.wrong() + result.noAnswer() + result.unknown();
    long errors = result.offered() - result.answered() - cut + result.late();
    directory.summary(Map.of("newWorkAfterSeconds", newWork, "cut", cut, "errors", errors));
    System.out.printf(
        "drain: stops=%d cut=%d errors=%d new_work_after_s=%.2f (requests %d, bad exits %d)%n",
        left.size() + exits.size(), cut, errors, newWork, result.offered(), badExits);
    return cut == 0 && errors == 0 && badExits == 0;
  }
}
