package org.magnoliaswitch.operator;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.magnoliaswitch.core.process.Version;
import org.magnoliaswitch.core.version.BackendServer;
import org.magnoliaswitch.core.version.Json;

/** Command line interface of {@code magnoliactl}. */
public final class ControlMain {
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final String USAGE_TEXT =
      """
      magnoliactl: manages the configuration of magnoliaswitch

      check DIR              validate declarations without contacting an instance
      plan DIR               show the differences from the declarations in force
      apply DIR              submit the declarations as a new version
      status                 show the version in force at each instance
      history                show the accepted versions, newest first
      show                   show the declarations in force
      drain SERVER           stop new requests to a backend server (--now: works without the store)
      activate SERVER        resume requests to a draining backend server
      retire SERVER          remove a backend server
      add SERVICE JSON       add a backend server, given as JSON
      """;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> entry =
      parser
          .accepts("entry", "URL of the operator port of any instance")
          .withRequiredArg()
          .defaultsTo("http://127.0.0.1:7101");
  private final OptionSpec<String> token =
      parser.accepts("token-file", "file with the bearer token of operators").withRequiredArg();
  private final OptionSpec<String> output =
      parser.accepts("output", "output format: text or json").withRequiredArg().defaultsTo("text");
  private final OptionSpec<String> changeId =
      parser
          .accepts("change-id", "identifier of the change; repeat it if the response was lost")
          .withRequiredArg();
  private final OptionSpec<String> author =
      parser
          .accepts("author", "author of the change")
          .withRequiredArg()
          .defaultsTo(System.getProperty("user.name", "operator"));
  private final OptionSpec<String> note =
      parser.accepts("note", "reason for the change").withRequiredArg().defaultsTo("");
  private final OptionSpec<Void> rebase =
      parser.accepts("rebase", "reapply the change if another one was accepted first");
  private final OptionSpec<Void> yes =
      parser.accepts("yes", "confirm a change that exceeds the maxDrainShare of a service");
  private final OptionSpec<Void> now =
      parser.accepts("now", "drain at once through the instance and its peers, without the store");
  private final OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
  private final OptionSpec<Void> version = parser.accepts("version", "print the version").forHelp();

  private ControlMain() {}

  /** Runs one command. Exits with 0 on success, 1 on failure and 2 if the arguments are invalid. */
  public static void main(String[] arguments) throws IOException {
    System.exit(new ControlMain().run(arguments));
  }

  private int run(String[] arguments) throws IOException {
    try {
      OptionSet options = parser.parse(arguments);
      List<String> words = options.nonOptionArguments().stream().map(String::valueOf).toList();
      if (options.has(help) || (words.isEmpty() && !options.has(version))) {
        System.out.println(USAGE_TEXT);
        parser.printHelpOn(System.out);
        return words.isEmpty() && !options.has(help) ? EXIT_USAGE : 0;
      }
      if (options.has(version)) {
        System.out.println("magnoliactl " + Version.TEXT);
        return 0;
      }
      System.out.println(runCommand(options, words));
      return 0;
    } catch (OptionException e) {
      return fail(EXIT_USAGE, e.getMessage() + "; see --help");
    } catch (OperatorException e) {
      return fail(e.exitCode(), String.valueOf(e.getMessage()));
    } catch (IOException e) {
      return fail(EXIT_FAILURE, "no use of the instance: " + e.getMessage());
    }
  }

  private String runCommand(OptionSet options, List<String> words)
      throws IOException, OperatorException {
    if (words.getFirst().equals("check")) {
      DeclarationDirectory.check(DeclarationDirectory.read(Path.of(argument(words, 1, "DIR"))));
      return "ok";
    }
    boolean json = options.valueOf(output).equals("json");
    try (EntryClient client =
        new EntryClient(URI.create(options.valueOf(entry)), readToken(options))) {
      ControlCommands commands = new ControlCommands(client, json);
      ControlCommands.ChangeOptions change = changeOptions(options);
      boolean confirmed = options.has(yes);
      return switch (words.getFirst()) {
        case "plan" -> commands.plan(Path.of(argument(words, 1, "DIR")));
        case "apply" -> commands.apply(Path.of(argument(words, 1, "DIR")), change);
        case "status" -> commands.status();
        case "history" -> commands.history();
        case "show" -> commands.show();
        case "drain" ->
            options.has(now)
                ? commands.drainNow(argument(words, 1, "SERVER"))
                : commands.edit(
                    new ServerEdit.Drain(argument(words, 1, "SERVER"), confirmed), change);
        case "activate" ->
            commands.edit(new ServerEdit.Activate(argument(words, 1, "SERVER")), change);
        case "retire" ->
            commands.edit(new ServerEdit.Retire(argument(words, 1, "SERVER"), confirmed), change);
        case "add" ->
            commands.edit(
                new ServerEdit.Add(
                    argument(words, 1, "SERVICE"), parseServer(argument(words, 2, "JSON"))),
                change);
        default ->
            throw new OperatorException(
                EXIT_USAGE, "unknown command " + words.getFirst() + "; see --help");
      };
    }
  }

  private ControlCommands.ChangeOptions changeOptions(OptionSet options) {
    String id = options.has(changeId) ? options.valueOf(changeId) : UUID.randomUUID().toString();
    return new ControlCommands.ChangeOptions(
        id, options.valueOf(author), options.valueOf(note), options.has(rebase));
  }

  private String readToken(OptionSet options) throws OperatorException {
    if (!options.has(token)) {
      throw new OperatorException(EXIT_USAGE, "missing required option --token-file; see --help");
    }
    try {
      return Files.readString(Path.of(options.valueOf(token))).strip();
    } catch (IOException e) {
      throw new OperatorException(EXIT_USAGE, "cannot read the token file: " + e);
    }
  }

  private static BackendServer parseServer(String json) throws OperatorException {
    try {
      return Json.MAPPER.readValue(json, BackendServer.class);
    } catch (IOException e) {
      throw new OperatorException(EXIT_USAGE, "invalid JSON of a server: " + e.getMessage());
    }
  }

  private static String argument(List<String> words, int index, String name)
      throws OperatorException {
    if (words.size() <= index) {
      throw new OperatorException(
          EXIT_USAGE, words.getFirst() + ": missing argument " + name + "; see --help");
    }
    return words.get(index);
  }

  private static int fail(int code, String message) {
    message.lines().forEach(line -> System.err.println("magnoliactl: " + line));
    return code;
  }
}
