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

/** Command line of {@code magnoliactl}. */
public final class ControlMain {
  private static final int FAILED = 1;
  private static final int USAGE = 2;
  private static final String COMMANDS =
      """
      magnoliactl: drives magnoliaswitch by declarations

      check DIR              check declarations without any instance
      plan DIR               differences from what is in force
      apply DIR              put declarations in force
      status                 version in force per instance
      history                accepted versions, newest first
      show                   declarations in force
      drain SERVER           no new work for a backend server (--now: also without the store)
      activate SERVER        put a draining backend server back to work
      retire SERVER          remove a backend server
      add SERVICE JSON       add a backend server, given as JSON
      """;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> entry =
      parser
          .accepts("entry", "operators' address of any instance")
          .withRequiredArg()
          .defaultsTo("http://127.0.0.1:7101");
  private final OptionSpec<String> token =
      parser.accepts("token-file", "file with the bearer token").withRequiredArg();
  private final OptionSpec<String> output =
      parser.accepts("output", "text or json").withRequiredArg().defaultsTo("text");
  private final OptionSpec<String> changeId =
      parser
          .accepts("change-id", "names the change; repeat it to resolve a lost answer")
          .withRequiredArg();
  private final OptionSpec<String> author =
      parser
          .accepts("author", "who makes the change")
          .withRequiredArg()
          .defaultsTo(System.getProperty("user.name", "operator"));
  private final OptionSpec<String> note =
      parser.accepts("note", "why").withRequiredArg().defaultsTo("");
  private final OptionSpec<Void> rebase =
      parser.accepts("rebase", "plan a raced change again on top of the other one");
  private final OptionSpec<Void> yes =
      parser.accepts("yes", "confirm draining more than a service's declared share");
  private final OptionSpec<Void> now =
      parser.accepts("now", "drain at once by word of mouth, for an outage of the store");
  private final OptionSpec<Void> help = parser.accepts("help", "print this text").forHelp();
  private final OptionSpec<Void> version = parser.accepts("version", "print the version").forHelp();

  private ControlMain() {}

  /** Runs one command; exits with 0, 1 for failures or 2 for unusable arguments. */
  public static void main(String[] arguments) throws IOException {
    System.exit(new ControlMain().run(arguments));
  }

  private int run(String[] arguments) throws IOException {
    try {
      OptionSet options = parser.parse(arguments);
      List<String> words = options.nonOptionArguments().stream().map(String::valueOf).toList();
      if (options.has(help) || (words.isEmpty() && !options.has(version))) {
        System.out.println(COMMANDS);
        parser.printHelpOn(System.out);
        return words.isEmpty() && !options.has(help) ? USAGE : 0;
      }
      if (options.has(version)) {
        System.out.println("magnoliactl " + Version.TEXT);
        return 0;
      }
      System.out.println(command(options, words));
      return 0;
    } catch (OptionException e) {
      return fail(USAGE, e.getMessage() + "; see --help");
    } catch (OperatorException e) {
      return fail(e.exitCode(), String.valueOf(e.getMessage()));
    } catch (IOException e) {
      return fail(FAILED, "no use of the instance: " + e.getMessage());
    }
  }

  private String command(OptionSet options, List<String> words)
      throws IOException, OperatorException {
    if (words.getFirst().equals("check")) {
      DeclarationDirectory.check(DeclarationDirectory.read(Path.of(word(words, 1, "DIR"))));
      return "ok";
    }
    boolean json = options.valueOf(output).equals("json");
    try (EntryClient client = new EntryClient(URI.create(options.valueOf(entry)), token(options))) {
      ControlCommands commands = new ControlCommands(client, json);
      ControlCommands.ChangeOptions change = change(options);
      boolean confirmed = options.has(yes);
      return switch (words.getFirst()) {
        case "plan" -> commands.plan(Path.of(word(words, 1, "DIR")));
        case "apply" -> commands.apply(Path.of(word(words, 1, "DIR")), change);
        case "status" -> commands.status();
        case "history" -> commands.history();
        case "show" -> commands.show();
        case "drain" ->
            options.has(now)
                ? commands.leavingNow(word(words, 1, "SERVER"))
                : commands.edit(new ServerEdit.Drain(word(words, 1, "SERVER"), confirmed), change);
        case "activate" -> commands.edit(new ServerEdit.Activate(word(words, 1, "SERVER")), change);
        case "retire" ->
            commands.edit(new ServerEdit.Retire(word(words, 1, "SERVER"), confirmed), change);
        case "add" ->
            commands.edit(
                new ServerEdit.Add(word(words, 1, "SERVICE"), server(word(words, 2, "JSON"))),
                change);
        default ->
            throw new OperatorException(USAGE, "no command " + words.getFirst() + "; see --help");
      };
    }
  }

  private ControlCommands.ChangeOptions change(OptionSet options) {
    String id = options.has(changeId) ? options.valueOf(changeId) : UUID.randomUUID().toString();
    return new ControlCommands.ChangeOptions(
        id, options.valueOf(author), options.valueOf(note), options.has(rebase));
  }

  private String token(OptionSet options) throws OperatorException {
    if (!options.has(token)) {
      throw new OperatorException(USAGE, "--token-file is needed; see --help");
    }
    try {
      return Files.readString(Path.of(options.valueOf(token))).strip();
    } catch (IOException e) {
      throw new OperatorException(USAGE, "cannot read the token: " + e);
    }
  }

  private static BackendServer server(String json) throws OperatorException {
    try {
      return Json.MAPPER.readValue(json, BackendServer.class);
    } catch (IOException e) {
      throw new OperatorException(USAGE, "unusable server: " + e.getMessage());
    }
  }

  private static String word(List<String> words, int index, String name) throws OperatorException {
    if (words.size() <= index) {
      throw new OperatorException(USAGE, words.getFirst() + " needs " + name + "; see --help");
    }
    return words.get(index);
  }

  private static int fail(int code, String message) {
    message.lines().forEach(line -> System.err.println("magnoliactl: " + line));
    return code;
  }
}
