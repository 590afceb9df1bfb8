package org.magnoliaswitch.bench.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.bench.LoadResult;

/**
 * Reports on at-most-once execution: compares the outcomes reported to callers with the executions.
 */
final class OnceReport {
  private OnceReport() {}

  static boolean run(RunDirectory directory) throws IOException {
    LoadResult on = directory.result("protected.json");
    System.out.printf(
        "%-12s %9s %9s %14s %14s %12s%n",
        "protection", "requests", "twice", "not exec, ran", "exec, not run", "unknown %");
    print("on", on);
    boolean detectsDoubleExecution = true;
    if (directory.has("unprotected.json")) {
      LoadResult off = directory.result("unprotected.json");
      print("off", off);
      detectsDoubleExecution = off.truth().executedTwice() > 0;
    }
    directory.summary(Map.of("protected", on));
    double writes = writes(directory) / on.offered();
    System.out.printf(
        "once: requests=%d executed_twice=%d told_not_executed_but_ran=%d told_executed_but_not=%d "
            + "wrong_or_cut_answers=%d unknown_pct=%.3f answered_in_deadline_pct=%.3f writes_per_request=%.3f%n",
        on.offered(),
        on.truth().executedTwice(),
        on.truth().toldNotExecutedButRan(),
        on.truth().toldExecutedButNot(),
        on.wrong(),
        unknownPercent(on),
        100.0 * (on.answered() - on.late()) / on.offered(),
        writes);
    if (!detectsDoubleExecution) {
      System.out.println(
          "once: the run without protection had no double execution, so the check is not conclusive");
    }
    return detectsDoubleExecution && on.truth().equals(LoadResult.Truth.NONE) && on.wrong() == 0;
  }

  private static void print(String protection, LoadResult result) {
    System.out.printf(
        "%-12s %9d %9d %14d %14d %12.3f%n",
        protection,
        result.offered(),
        result.truth().executedTwice(),
        result.truth().toldNotExecutedButRan(),
        result.truth().toldExecutedButNot(),
        unknownPercent(result));
  }

  private static double unknownPercent(LoadResult result) {
    return 100.0 * (result.unknown() + result.noAnswer()) / result.offered();
  }

  private static double writes(RunDirectory directory) throws IOException {
    JsonNode before = directory.json("before-protected.json");
    JsonNode after = directory.json("after-protected.json");
    double writes = 0;
    for (String field : List.of("transactions", "objectWrites")) {
      writes += after.get(field).asDouble() - before.get(field).asDouble();
    }
    return writes;
  }
}
