package org.magnoliaswitch.bench.model;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.magnoliaswitch.bench.model.ReplayMetrics.Result;
import org.magnoliaswitch.bench.report.Plots;

/**
 * Command line of {@code magnolia-load-model}: replays load patterns in a simulation of the
 * decisions of the front.
 */
public final class LoadModelMain {
  private static final int USAGE_ERROR = 2;

  private LoadModelMain() {}

  /** Prints a table, writes a plot and prints a summary line relative to the ideal policy. */
  public static void main(String[] arguments) throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> directory =
        parser.accepts("dir", "directory for the plot").withRequiredArg().defaultsTo(".");
    OptionSpec<String> patterns =
        parser
            .accepts("pattern", "load patterns to replay; all if none is given")
            .withRequiredArg()
            .withValuesSeparatedBy(',');
    OptionSpec<String> variants =
        parser
            .accepts(
                "way",
                "policies to compare with the current and the ideal policy; all if none is given")
            .withRequiredArg()
            .withValuesSeparatedBy(',');
    OptionSpec<Integer> seeds =
        parser
            .accepts("seeds", "number of replays of each pattern and policy")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(Replay.DEFAULT_SEEDS);
    OptionSpec<Void> ablation =
        parser.accepts(
            "ablation", "estimate the effect of each mechanism instead of comparing policies");
    OptionSpec<Void> help = parser.accepts("help", "print this text").forHelp();
    try {
      OptionSet options = parser.parse(arguments);
      if (options.has(help)) {
        System.out.println(
            "magnolia-load-model [--dir DIR] [--pattern NAME,...] [--way WAY,...] [--seeds N]"
                + " [--ablation]\n");
        parser.printHelpOn(System.out);
        return;
      }
      if (options.has(ablation)) {
        Ablation.run(patterns(options.valuesOf(patterns)), options.valueOf(seeds));
        return;
      }
      run(
          Path.of(options.valueOf(directory)),
          patterns(options.valuesOf(patterns)),
          variants(options.valuesOf(variants)),
          options.valueOf(seeds));
    } catch (OptionException | IllegalArgumentException e) {
      System.err.println("magnolia-load-model: " + e.getMessage() + "; see --help");
      System.exit(USAGE_ERROR);
    }
  }

  private static List<LoadPattern> patterns(List<String> names) {
    if (names.isEmpty()) {
      return LoadPattern.ALL;
    }
    List<String> known = LoadPattern.ALL.stream().map(LoadPattern::name).toList();
    check("pattern", names, known);
    return LoadPattern.ALL.stream().filter(pattern -> names.contains(pattern.name())).toList();
  }

  private static void check(String option, List<String> names, List<String> known) {
    for (String name : names) {
      if (!known.contains(name)) {
        throw new IllegalArgumentException(
            option + " " + name + " is none of the known values " + known);
      }
    }
  }

  private static List<PolicyVariant> variants(List<String> names) {
    if (names.isEmpty()) {
      return PolicyVariant.defaults();
    }
    check("way", names, PolicyVariant.all().stream().map(PolicyVariant::name).toList());
    return PolicyVariant.all().stream()
        .filter(
            variant ->
                variant == PolicyVariant.CURRENT
                    || variant == PolicyVariant.IDEAL
                    || names.contains(variant.name()))
        .toList();
  }

  private static void run(
      Path directory, List<LoadPattern> patterns, List<PolicyVariant> selected, int seeds)
      throws IOException {
    Map<LoadPattern, Map<PolicyVariant, Result>> results = new LinkedHashMap<>();
    System.out.printf(
        Locale.ROOT,
        "%-13s %-26s %7s %9s %7s %12s %14s %7s %5s %8s%n",
        "pattern",
        "way",
        "served",
        "objective",
        "credit",
        "worst_second",
        "refused_twice",
        "probes",
        "near",
        "connects");
    for (LoadPattern pattern : patterns) {
      Map<PolicyVariant, Result> variants = new LinkedHashMap<>();
      for (PolicyVariant variant : selected) {
        Result result = Replay.run(pattern, variant, seeds);
        variants.put(variant, result);
        print(pattern, variant, result);
      }
      results.put(pattern, variants);
    }
    plot(directory, results, selected);
    if (!selected.contains(PolicyVariant.ROUND_ROBIN)) {
      return;
    }
    System.out.printf(
        Locale.ROOT,
        "load-model: served_vs_ideal=%.3f objective_vs_ideal=%.3f worst_second_vs_ideal=%.3f"
            + " vs_round_robin=%.3f%n",
        mean(results, PolicyVariant.IDEAL, Result::served),
        mean(results, PolicyVariant.IDEAL, Result::inTime),
        mean(results, PolicyVariant.IDEAL, Result::worstSecond),
        mean(results, PolicyVariant.ROUND_ROBIN, Result::inTime));
  }

  private static void print(LoadPattern pattern, PolicyVariant variant, Result result) {
    System.out.printf(
        Locale.ROOT,
        "%-13s %-26s %7.3f %9.3f %7.3f %12.3f %14.3f %7.2f %5.2f %8.2f%n",
        pattern.name(),
        variant.name(),
        result.served(),
        result.inTime(),
        result.credit(),
        result.worstSecond(),
        result.refusedTwice(),
        result.probes(),
        result.near(),
        result.connects());
  }

  private static double mean(
      Map<LoadPattern, Map<PolicyVariant, Result>> results,
      PolicyVariant other,
      ToDoubleFunction<Result> figure) {
    return results.values().stream()
        .mapToDouble(
            variants ->
                figure.applyAsDouble(variants.get(PolicyVariant.CURRENT))
                    / Math.max(1e-3, figure.applyAsDouble(variants.get(other))))
        .average()
        .orElse(0);
  }

  private static void plot(
      Path directory,
      Map<LoadPattern, Map<PolicyVariant, Result>> results,
      List<PolicyVariant> selected)
      throws IOException {
    Files.createDirectories(directory);
    List<String> patterns = results.keySet().stream().map(LoadPattern::name).toList();
    Map<String, List<Double>> bars = new LinkedHashMap<>();
    for (PolicyVariant variant : selected) {
      List<Double> values = new ArrayList<>();
      results.values().forEach(variants -> values.add(variants.get(variant).inTime()));
      bars.put(variant.name(), values);
    }
    Plots.bars(
        directory.resolve("load-model.png"),
        "Answers within the objective",
        "share of requests",
        patterns,
        bars);
  }
}
