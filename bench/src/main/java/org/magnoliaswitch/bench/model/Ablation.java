package org.magnoliaswitch.bench.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.magnoliaswitch.front.load.Mechanism;

/**
 * What each mechanism is worth: plays with all of them beside plays with one switched off, pattern
 * by pattern and seed by seed.
 */
final class Ablation {
  /** A mean gain this many standard errors away from zero is told from luck. */
  private static final double SURE = 2;

  private Ablation() {}

  /**
   * What one mechanism brings.
   *
   * @param credit mean gain of the value that callers got
   * @param worst mean gain of the value in the two worst seconds
   * @param error standard error of the latter
   * @param best pattern in which it brings most of the latter
   * @param bestGain gain there
   */
  record Gain(double credit, double worst, double error, String best, double bestGain) {
    boolean something() {
      return worst > SURE * error;
    }

    boolean harmful() {
      return worst < -SURE * error;
    }
  }

  /** Plays all patterns without each mechanism, and prints a line for each and a closing one. */
  static void run(List<Pattern> patterns, int seeds) {
    Map<Pattern, List<Scoreboard.Result>> current = new HashMap<>();
    patterns.forEach(pattern -> current.put(pattern, Replay.each(pattern, Way.CURRENT, seeds)));
    int something = 0;
    int harmful = 0;
    for (Mechanism mechanism : Mechanism.values()) {
      Gain gain = gain(mechanism, current, patterns, seeds);
      something += gain.something() ? 1 : 0;
      harmful += gain.harmful() ? 1 : 0;
      System.out.printf(
          Locale.ROOT,
          "%-20s credit=%+.4f worst_seconds=%+.4f standard_error=%.4f most=%+.4f pattern=%s%n",
          mechanism.name().toLowerCase(Locale.ROOT),
          gain.credit(),
          gain.worst(),
          gain.error(),
          gain.bestGain(),
          gain.best());
    }
    int all = Mechanism.values().length;
    System.out.printf(
        "ablation: mechanisms=%d worth_something=%d worth_nothing=%d harmful=%d%n",
        all, something, all - something - harmful, harmful);
  }

  private static Gain gain(
      Mechanism mechanism,
      Map<Pattern, List<Scoreboard.Result>> current,
      List<Pattern> patterns,
      int seeds) {
    List<Double> credits = new ArrayList<>();
    List<Double> worst = new ArrayList<>();
    String best = "-";
    double bestGain = Double.NEGATIVE_INFINITY;
    for (Pattern pattern : patterns) {
      List<Scoreboard.Result> without = Replay.each(pattern, Way.without(mechanism), seeds);
      double sum = 0;
      for (int i = 0; i < seeds; i++) {
        Scoreboard.Result with = current.get(pattern).get(i);
        credits.add(with.credit() - without.get(i).credit());
        worst.add(with.worstSecond() - without.get(i).worstSecond());
        sum += with.worstSecond() - without.get(i).worstSecond();
      }
      if (sum / seeds > bestGain) {
        bestGain = sum / seeds;
        best = pattern.name();
      }
    }
    return new Gain(mean(credits), mean(worst), standardError(worst), best, bestGain);
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
