package org.magnoliaswitch.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.magnoliaswitch.core.process.Version;
import org.magnoliaswitch.core.version.InvalidDeclarationException;

/** Command line interface of {@code magnolia-entry}. */
public final class EntryMain {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private EntryMain() {}

  /**
   * Starts an entry. Exits with 2 if the arguments or the settings are invalid, and with 1 if the
   * entry cannot start.
   */
  public static void main(String[] arguments) throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> file =
        parser
            .accepts("settings", "JSON file with the settings of this instance")
            .withRequiredArg()
            .describedAs("entry.json");
    OptionSpec<Void> check = parser.accepts("check", "check the settings and exit");
    OptionSpec<Void> help = parser.accepts("help", "print this text").forHelp();
    OptionSpec<Void> version = parser.accepts("version", "print the version").forHelp();
    try {
      OptionSet options = parser.parse(arguments);
      if (options.has(help)) {
        System.out.println("magnolia-entry: forwards requests from callers to backend servers\n");
        parser.printHelpOn(System.out);
      } else if (options.has(version)) {
        System.out.println("magnolia-entry " + Version.TEXT);
      } else if (!options.has(file)) {
        exit(EXIT_USAGE, "missing required option --settings; see --help");
      } else {
        start(Path.of(options.valueOf(file)), options.has(check));
      }
    } catch (OptionException e) {
      exit(EXIT_USAGE, e.getMessage() + "; see --help");
    }
  }

  private static void start(Path file, boolean checkOnly) {
    Optional<EntrySettings> settings = read(file);
    if (settings.isEmpty()) {
      return;
    }
    if (checkOnly) {
      System.out.println(file + ": ok");
      System.exit(EXIT_OK);
    }
    run(settings.get());
  }

  private static Optional<EntrySettings> read(Path file) {
    try {
      return Optional.of(EntrySettings.parse(file.toString(), Files.readAllBytes(file)));
    } catch (IOException e) {
      exit(EXIT_USAGE, "cannot read settings file " + file + ": " + e);
    } catch (InvalidDeclarationException e) {
      exit(EXIT_USAGE, e.getMessage());
    }
    return Optional.empty();
  }

  private static void run(EntrySettings settings) {
    try {
      new EntryApplication(settings).run("server");
    } catch (Exception e) {
      Throwable rootCause = e;
      while (rootCause.getCause() != null) {
        rootCause = rootCause.getCause();
      }
      exit(EXIT_FAILURE, "cannot start: " + rootCause.getMessage());
    }
  }

  private static void exit(int code, String message) {
    for (String line : List.of(message.split("\n", -1))) {
      System.err.println("magnolia-entry: " + line);
    }
    System.exit(code);
  }
}
