package org.magnoliaswitch.bench;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.Version;
import org.magnoliaswitch.core.version.Json;
import org.magnoliaswitch.core.version.Problem;
import org.magnoliaswitch.core.version.SnapshotParser;

/** Command line of {@code magnolia-load}. */
public final class LoadMain {
  private static final int FAILED = 1;
  private static final int USAGE_ERROR = 2;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> scenario =
      parser.accepts("scenario", "JSON file with phases and kinds").withRequiredArg();
  private final OptionSpec<String> entries =
      parser
          .accepts("entries", "host:port of the instances, separated by commas")
          .withRequiredArg();
  private final OptionSpec<Double> rate =
      parser
          .accepts("scale-rate", "factor by which all rates are multiplied")
          .withRequiredArg()
          .ofType(Double.class)
          .defaultsTo(1.0);
  private final OptionSpec<Double> time =
      parser
          .accepts("scale-time", "factor by which the lengths of all phases are multiplied")
          .withRequiredArg()
          .ofType(Double.class)
          .defaultsTo(1.0);
  private final OptionSpec<String> truth =
      parser
          .accepts(
              "standin-control",
              "URL of the stand-ins whose executions are compared with the answers")
          .withRequiredArg();
  private final OptionSpec<String> out =
      parser.accepts("out", "file for the result as JSON").withRequiredArg();
  private final OptionSpec<String> plot =
      parser.accepts("plot", "file for the plot of the run as PNG").withRequiredArg();
  private final OptionSpec<Double> warmUp =
      parser
          .accepts("warm-up", "seconds at the first rate that are not recorded")
          .withRequiredArg()
          .ofType(Double.class)
          .defaultsTo(0.0);
  private final OptionSpec<Void> direct =
      parser.accepts("direct", "treat the addresses as backend servers, without health checks");
  private final OptionSpec<Void> strict =
      parser.accepts("strict", "exit with 1 unless every request received a complete answer");
  private final OptionSpec<Void> freshKeys =
      parser.accepts(
          "fresh-keys", "request a key for each request instead of using keys issued with answers");
  private final OptionSpec<Void> help = parser.accepts("help", "print this text").forHelp();
  private final OptionSpec<Void> version = parser.accepts("version", "print the version").forHelp();

  private LoadMain() {}

  /** Generates load; exits with 0 on success, 1 on failure or 2 on invalid arguments. */
  public static void main(String[] arguments) throws IOException {
    System.exit(new LoadMain().run(arguments));
  }

  private int run(String[] arguments) throws IOException {
    try {
      OptionSet options = parser.parse(arguments);
      if (options.has(help)) {
        System.out.println("magnolia-load: generates open-loop load and checks every answer\n");
        parser.printHelpOn(System.out);
        return 0;
      }
      if (options.has(version)) {
        System.out.println("magnolia-load " + Version.TEXT);
        return 0;
      }
      if (!options.has(scenario) || !options.has(entries)) {
        return fail(USAGE_ERROR, "--scenario and --entries are required; see --help");
      }
      return load(options);
    } catch (OptionException e) {
      return fail(USAGE_ERROR, e.getMessage() + "; see --help");
    } catch (IOException e) {
      return fail(FAILED, e.toString());
    }
  }

  private int load(OptionSet options) throws IOException {
    List<Problem> problems = new ArrayList<>();
    Path file = Path.of(options.valueOf(scenario));
    var read =
        SnapshotParser.readDocument(
            file.toString(), Files.readAllBytes(file), Scenario.class, problems);
    if (read.isEmpty()) {
      return fail(USAGE_ERROR, problems.getFirst().toString());
    }
    Scenario scaled = read.get().scaled(options.valueOf(rate), options.valueOf(time));
    Clocks clocks = Clocks.system();
    List<CallerSession> sessions =
        Arrays.stream(options.valueOf(entries).split(",", -1))
            .map(entry -> new CallerSession(entry, clocks))
            .toList();
    LoadGenerator generator =
        new LoadGenerator(scaled, sessions, clocks, LoadGenerator.runId(), options.has(freshKeys));
    if (!options.has(direct)) {
      generator.startHealthChecks();
    }
    generator.warmUp(options.valueOf(warmUp));
    double length = generator.run();
    LoadResult.Truth comparison =
        options.has(truth)
            ? TruthCheck.check(generator.recorder(), URI.create(options.valueOf(truth)))
            : LoadResult.Truth.NONE;
    LoadResult result = generator.recorder().result(scaled, length, comparison);
    report(result, options);
    boolean allAnswered = result.answered() == result.offered() && result.wrong() == 0;
    return options.has(strict) && !allAnswered ? FAILED : 0;
  }

  private void report(LoadResult result, OptionSet options) throws IOException {
    System.out.printf(
        "offered=%d answered=%d late=%d not_executed=%d unknown=%d wrong=%d no_answer=%d tries=%d%n",
        result.offered(),
        result.answered(),
        result.late(),
        result.notExecuted(),
        result.unknown(),
        result.wrong(),
        result.noAnswer(),
        result.tries());
    System.out.printf(
        "goodput=%.1f/s weighted=%.4f p50=%.2fms p90=%.2fms p99=%.2fms p99.9=%.2fms max=%.2fms%n",
        result.goodput(),
        result.weighted(),
        result.p50Millis(),
        result.p90Millis(),
        result.p99Millis(),
        result.p999Millis(),
        result.maxMillis());
    System.out.printf(
        "executed_twice=%d told_not_executed_but_ran=%d told_executed_but_not=%d%n",
        result.truth().executedTwice(),
        result.truth().toldNotExecutedButRan(),
        result.truth().toldExecutedButNot());
    result
        .byKind()
        .forEach(
            (name, kind) ->
                System.out.printf(
                    "  %-16s offered=%d in_time=%d p99=%.2fms%n",
                    name, kind.offered(), kind.inTime(), kind.p99Millis()));
    if (options.has(out)) {
      Files.write(
          Path.of(options.valueOf(out)),
          Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsBytes(result));
    }
    if (options.has(plot)) {
      LoadPlot.write(result, Path.of(options.valueOf(plot)));
    }
  }

  private static int fail(int code, String message) {
    System.err.println("magnolia-load: " + message);
    return code;
  }
}
