package org.magnoliaswitch.bench.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.magnoliaswitch.front.load.Mechanism;

/**
 * Estimates the effect of each mechanism: compares replays with all mechanisms enabled and replays
 * with one mechanism disabled, by pattern and seed.
 */
final class Ablation {
  /** A mean gain at least this many standard errors away from zero counts as significant. */
  private static final double MIN_STANDARD_ERRORS = 2;

  private Ablation() {}

  /**
   * The effect of one mechanism.
   *
   * @param credit mean gain of the value of the answers that callers received
   * @param worstSeconds mean gain of the value in the two worst seconds
   * @param error standard error of {@code worstSeconds}
   * @param best pattern with the largest gain in the two worst seconds
   * @param bestGain mean gain in that pattern
   */
  record Gain(double credit, double worstSeconds, double error, String best, double bestGain) {
    boolean helps() {
      return worstSeconds > MIN_STANDARD_ERRORS * error;
    }

    boolean harmful() {
      return worstSeconds < -MIN_STANDARD_ERRORS * error;
    }
  }

  /**
   * Replays all patterns without each mechanism, and prints a line for each mechanism and a summary
   * line.
   */
  static void run(List<LoadPattern> patterns, int seeds) {
    Map<LoadPattern, List<ReplayMetrics.Result>> current = new HashMap<>();
    patterns.forEach(
        pattern -> current.put(pattern, Replay.runSeeds(pattern, PolicyVariant.CURRENT, seeds)));
    int helpful = 0;
    int harmful = 0;
    for (Mechanism mechanism : Mechanism.values()) {
      Gain gain = gain(mechanism, current, patterns, seeds);
      helpful += gain.helps() ? 1 : 0;
      harmful += gain.harmful() ? 1 : 0;
      System.out.printf(
          Locale.ROOT,
          "%-20s credit=%+.4f worst_seconds=%+.4f standard_error=%.4f most=%+.4f pattern=%s%n",
          mechanism.name().toLowerCase(Locale.ROOT),
          gain.credit(),
          gain.worstSeconds(),
          gain.error(),
          gain.bestGain(),
          gain.best());
    }
    int all = Mechanism.values().length;
    System.out.printf(
        "ablation: mechanisms=%d worth_something=%d worth_nothing=%d harmful=%d%n",
        all, helpful, all - helpful - harmful, harmful);
  }

  private static Gain gain(
      Mechanism mechanism,
      Map<LoadPattern, List<ReplayMetrics.Result>> current,
      List<LoadPattern> patterns,
      int seeds) {
    List<Double> credits = new ArrayList<>();
    List<Double> worstSeconds = new ArrayList<>();
    String best = "-";
    double bestGain = Double.NEGATIVE_INFINITY;
    for (LoadPattern pattern : patterns) {
      List<ReplayMetrics.Result> without =
          Replay.runSeeds(pattern, PolicyVariant.without(mechanism), seeds);
      double sum = 0;
      for (int i = 0; i < seeds; i++) {
        ReplayMetrics.Result with = current.get(pattern).get(i);
        credits.add(with.credit() - without.get(i).credit());
        worstSeconds.add(with.worstSecond() - without.get(i).worstSecond());
        sum += with.worstSecond() - without.get(i).worstSecond();
      }
      if (sum / seeds > bestGain) {
        bestGain = sum / seeds;
        best = pattern.name();
      }
    }
    return new Gain(mean(credits), mean(worstSeconds), standardError(worstSeconds), best, bestGain);
  }

  private static double mean(List<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }

  private static double standardError(List<Double> values) {
    double mean = mean(values);
    double squares = values.stream().mapToDouble(value -> (value - mean) * (value - mean)).sum();
    return Math.sqrt(squares / Math.max(1, values.size() - 1) / Math.max(1, values.size()));
  }
}
