package org.magnoliaswitch.standins;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.Version;
import org.magnoliaswitch.core.version.BackendServer;
import org.magnoliaswitch.core.version.Problem;
import org.magnoliaswitch.core.version.Service;
import org.magnoliaswitch.core.version.SnapshotParser;

/** The command-line program {@code magnolia-standin}. */
public final class StandinMain {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int USAGE = 2;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> host =
      parser
          .accepts("host", "IP address of the platform and the control interface")
          .withRequiredArg()
          .defaultsTo("127.0.0.1");
  private final OptionSpec<Integer> platform =
      parser
          .accepts("platform-port", "port of the simulated platform")
          .withRequiredArg()
          .ofType(Integer.class);
  private final OptionSpec<String> declarations =
      parser
          .accepts(
              "declarations", "directory of declarations; every backend server in it is simulated")
          .withRequiredArg()
          .describedAs("DIR");
  private final OptionSpec<Integer> control =
      integerOption(
          "control-port",
          "port of the interface that controls the simulated backend servers",
          7800);
  private final OptionSpec<Integer> queue =
      integerOption("queue", "maximum number of requests queued at a backend server", 24);
  private final OptionSpec<Integer> seed =
      integerOption("seed", "seed of the random service times", 1);
  private final OptionSpec<Double> serviceMillis =
      parser
          .accepts("service-ms", "mean service time in milliseconds")
          .withRequiredArg()
          .ofType(Double.class)
          .defaultsTo(5.0);
  private final OptionSpec<Double> spread =
      parser
          .accepts("spread", "sigma of the log-normal distribution of service times")
          .withRequiredArg()
          .ofType(Double.class)
          .defaultsTo(0.5);
  private final OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
  private final OptionSpec<Void> version = parser.accepts("version", "print the version").forHelp();

  private StandinMain() {}

  /** Starts the stand-ins, which run until the process is terminated. */
  public static void main(String[] arguments) throws Exception {
    new StandinMain().run(arguments);
  }

  private OptionSpec<Integer> integerOption(String name, String description, int defaultValue) {
    return parser
        .accepts(name, description)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(defaultValue);
  }

  private void run(String[] arguments) throws Exception {
    OptionSet options;
    try {
      options = parser.parse(arguments);
    } catch (OptionException e) {
      fail(e.getMessage() + "; see --help");
      return;
    }
    if (options.has(help)) {
      System.out.println("magnolia-standin: simulates backend servers and the platform\n");
      parser.printHelpOn(System.out);
    } else if (options.has(version)) {
      System.out.println("magnolia-standin " + Version.TEXT);
    } else if (!options.has(platform) && !options.has(declarations)) {
      fail("--platform-port or --declarations is required; see --help");
    } else {
      start(options);
    }
  }

  private void start(OptionSet options) throws Exception {
    if (options.has(platform)) {
      new PlatformStandin(options.valueOf(host), options.valueOf(platform), Clocks.system())
          .startServer();
    }
    if (options.has(declarations)) {
      startBackends(options);
    }
    logger.atInfo().log("event=started");
  }

  private void startBackends(OptionSet options) throws Exception {
    BackendFleet backends = new BackendFleet(Clocks.system());
    for (BackendServer server : readServers(Path.of(options.valueOf(declarations)))) {
      backends.add(
          server,
          new BackendBehaviour(
              server.slots(),
              options.valueOf(queue),
              options.valueOf(serviceMillis),
              options.valueOf(spread),
              options.valueOf(seed)));
    }
    backends.addControlPort(options.valueOf(host), options.valueOf(control));
    backends.start();
  }

  private static List<BackendServer> readServers(Path directory) throws IOException {
    List<BackendServer> servers = new ArrayList<>();
    List<Problem> problems = new ArrayList<>();
    try (Stream<Path> files = Files.list(directory.resolve("services"))) {
      for (Path file : files.sorted().toList()) {
        SnapshotParser.readDocument(
                file.toString(), Files.readAllBytes(file), Service.class, problems)
            .ifPresent(service -> servers.addAll(service.servers()));
      }
    }
    if (!problems.isEmpty()) {
      throw new IOException(problems.toString());
    }
    return servers;
  }

  private static void fail(String message) {
    System.err.println("magnolia-standin: " + message);
    System.exit(USAGE);
  }
}
