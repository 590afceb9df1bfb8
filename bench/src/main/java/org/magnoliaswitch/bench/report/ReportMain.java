package org.magnoliaswitch.bench.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command line of {@code magnolia-report}: evaluates the output directory of an experiment. */
public final class ReportMain {
  private static final int FAILED = 1;
  private static final int USAGE_ERROR = 2;

  private ReportMain() {}

  /** Prints a report; exits with 0 on success, 1 if a check failed or 2 on invalid arguments. */
  public static void main(String[] arguments) {
    OptionParser parser = new OptionParser();
    OptionSpec<String> directory =
        parser.accepts("dir", "output directory of the experiment").withRequiredArg();
    OptionSpec<Void> help = parser.accepts("help", "print this text").forHelp();
    try {
      OptionSet options = parser.parse(arguments);
      List<String> experiments =
          options.nonOptionArguments().stream().map(String::valueOf).toList();
      if (options.has(help)) {
        System.out.println("magnolia-report EXPERIMENT --dir DIR\n");
        parser.printHelpOn(System.out);
      } else if (experiments.size() != 1 || !options.has(directory)) {
        fail(USAGE_ERROR, "one experiment and --dir are required; see --help");
      } else if (!report(
          experiments.getFirst(), new RunDirectory(Path.of(options.valueOf(directory))))) {
        System.exit(FAILED);
      }
    } catch (OptionException e) {
      fail(USAGE_ERROR, e.getMessage() + "; see --help");
    } catch (IOException e) {
      fail(FAILED, e.toString());
    }
  }

  /** Prints the report of an experiment; returns false if one of its checks failed. */
  private static boolean report(String experiment, RunDirectory directory) throws IOException {
    switch (experiment) {
      case "overhead" -> OverheadReport.run(directory);
      case "routing" -> RoutingReport.run(directory);
      case "measuring" -> {
        return MeasuringReport.run(directory);
      }
      case "overload" -> OverloadReport.run(directory);
      case "faults" -> FaultsReport.run(directory);
      case "once" -> {
        return OnceReport.run(directory);
      }
      case "config" -> {
        return ConfigReport.run(directory);
      }
      case "drain" -> {
        return DrainReport.run(directory);
      }
      case "extract" -> DeclarationExtract.run(directory);
      default -> fail(USAGE_ERROR, "unknown experiment " + experiment);
    }
    return true;
  }

  private static void fail(int code, String message) {
    System.err.println("magnolia-report: " + message);
    System.exit(code);
  }
}
