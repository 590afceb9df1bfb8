package org.magnoliaswitch.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.magnoliaswitch.core.operator.ChangeReply;
import org.magnoliaswitch.core.operator.ChangeRequest;
import org.magnoliaswitch.core.operator.InstanceStatus;
import org.magnoliaswitch.core.operator.VersionView;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.process.ConfigurationStore;
import org.magnoliaswitch.core.version.ConfigurationDiff;
import org.magnoliaswitch.core.version.Json;

/** The commands of {@code magnoliactl}. Each method returns the output of its command. */
final class ControlCommands {
  private static final int EXIT_FAILURE = 1;
  private static final int MAX_ATTEMPTS = 5;

  /**
   * Options of a command that changes the configuration.
   *
   * @param changeId identifier of the change, under which the platform accepts it at most once
   * @param author author of the change
   * @param note reason for the change
   * @param rebase whether to reapply the change on top of another one that was accepted first
   */
  record ChangeOptions(String changeId, String author, String note, boolean rebase) {}

  private final EntryClient client;
  private final boolean json;

  ControlCommands(EntryClient client, boolean json) {
    this.client = client;
    this.json = json;
  }

  /** Compares the declarations in a directory with the version in force. */
  String plan(Path directory) throws IOException, OperatorException {
    SortedMap<String, String> wanted = DeclarationDirectory.read(directory);
    DeclarationDirectory.check(wanted);
    VersionView inForce = client.inForce();
    List<String> lines = diff(inForce.parts(), wanted);
    if (json) {
      return toJson(new Plan(inForce.version(), lines));
    }
    return lines.isEmpty()
        ? "no difference from version " + inForce.version()
        : "against version " + inForce.version() + ":\n" + String.join("\n", lines);
  }

  private record Plan(long baseVersion, List<String> differences) {}

  /** Submits the declarations in a directory, unless they are already in force. */
  String apply(Path directory, ChangeOptions options) throws IOException, OperatorException {
    SortedMap<String, String> wanted = DeclarationDirectory.read(directory);
    DeclarationDirectory.check(wanted);
    VersionView base = client.inForce();
    if (base.parts().equals(wanted)) {
      return describe(
          new ChangeReply(ChangeReply.Status.ALREADY_ACCEPTED, base.version(), List.of()));
    }
    return submit(base, wanted, options);
  }

  /** Applies a change of one server to the declarations in force and submits the result. */
  String edit(ServerEdit edit, ChangeOptions options) throws IOException, OperatorException {
    VersionView base = client.inForce();
    SortedMap<String, String> wanted = new TreeMap<>(base.parts());
    edit.apply(wanted);
    DeclarationDirectory.check(wanted);
    return submit(base, wanted, options);
  }

  private String submit(VersionView base, SortedMap<String, String> wanted, ChangeOptions options)
      throws IOException, OperatorException {
    VersionView from = base;
    SortedMap<String, String> parts = wanted;
    for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      ChangeReply reply = client.submit(request(from, parts, options));
      switch (reply.status()) {
        case ACCEPTED, ALREADY_ACCEPTED -> {
          return describe(reply);
        }
        case INVALID ->
            throw new OperatorException(
                EXIT_FAILURE, joinLines("rejected as invalid", reply.messages()));
        case UNDECIDED -> {
          // Retrying is safe, because the platform accepts a change id at most once.
        }
        case RACED -> {
          if (!options.rebase()) {
            throw conflict(from, reply);
          }
          VersionView latest = latestAccepted();
          parts = Rebase.onto(from.parts(), parts, latest.parts());
          from = latest;
        }
      }
    }
    throw new OperatorException(
        EXIT_FAILURE,
        "undecided: the platform did not confirm or reject the change; repeat the command"
            + " with --change-id "
            + options.changeId());
  }

  private static ChangeRequest request(
      VersionView from, SortedMap<String, String> parts, ChangeOptions options) {
    return new ChangeRequest(
        from.version(), options.changeId(), options.author(), options.note(), parts);
  }

  /** Returns the latest accepted version, which may not yet be in force at the queried instance. */
  private VersionView latestAccepted() throws IOException {
    List<ConfigurationStore.Head> history = client.history();
    return history.isEmpty() ? client.inForce() : client.accepted(history.getFirst().manifest());
  }

  private OperatorException conflict(VersionView from, ChangeReply reply) throws IOException {
    List<String> differences = diff(from.parts(), latestAccepted().parts());
    return new OperatorException(
        EXIT_FAILURE,
        joinLines(
            "raced: version "
                + reply.version()
                + " was accepted since version "
                + from.version()
                + "; use --rebase to reapply the change on top of it. Differences",
            differences));
  }

  /** Returns the status of the queried instance and of each peer that it knows. */
  String status() throws IOException {
    InstanceStatus queried = client.status();
    List<Member> members = new ArrayList<>(queried.peers());
    members.add(queried.self());
    members.sort((a, b) -> a.instance().compareTo(b.instance()));
    Map<String, String> lines = new LinkedHashMap<>();
    for (Member member : members) {
      lines.put(member.instance(), memberStatus(member));
    }
    if (json) {
      return toJson(lines);
    }
    StringBuilder text = new StringBuilder();
    lines.forEach((instance, line) -> text.append(instance).append(' ').append(line).append('\n'));
    return text.toString().stripTrailing();
  }

  private String memberStatus(Member member) {
    try (EntryClient memberClient = client.at(member)) {
      InstanceStatus status = memberClient.status();
      return "version="
          + status.version()
          + " state="
          + status.self().state()
          + " data_centre="
          + status.self().dataCentre()
          + " incarnation="
          + status.self().incarnation();
    } catch (IOException e) {
      return "unreachable";
    }
  }

  /** Returns the latest accepted versions, newest first. */
  String history() throws IOException {
    List<ConfigurationStore.Head> heads = client.history();
    List<String> lines = new ArrayList<>();
    for (ConfigurationStore.Head head : heads) {
      VersionView view = client.accepted(head.manifest());
      lines.add(
          "version="
              + head.version()
              + " author="
              + view.author()
              + " change="
              + view.changeId()
              + " note="
              + view.note());
    }
    return json ? toJson(lines) : String.join("\n", lines);
  }

  /** Returns the declarations in force. */
  String show() throws IOException {
    VersionView view = client.inForce();
    if (json) {
      return toJson(view);
    }
    StringBuilder text = new StringBuilder("version " + view.version());
    view.parts()
        .forEach((path, part) -> text.append("\n--- ").append(path).append('\n').append(part));
    return text.toString();
  }

  /** Stops new requests to a server at once, without a change of the configuration. */
  String drainNow(String server) throws IOException {
    client.markLeaving(server);
    return json ? toJson(Map.of("leaving", server)) : server + " receives no new requests";
  }

  private String describe(ChangeReply reply) throws JsonProcessingException {
    if (json) {
      return toJson(reply);
    }
    return switch (reply.status()) {
      case ACCEPTED -> "accepted as version " + reply.version();
      case ALREADY_ACCEPTED -> "already accepted as version " + reply.version();
      case RACED, UNDECIDED, INVALID -> String.valueOf(reply.status());
    };
  }

  private static List<String> diff(Map<String, String> before, Map<String, String> after) {
    return ConfigurationDiff.lines(
        DeclarationDirectory.bytes(before), DeclarationDirectory.bytes(after));
  }

  private static String joinLines(String title, List<String> lines) {
    return title + ":\n" + String.join("\n", lines);
  }

  private static String toJson(Object value) throws JsonProcessingException {
    return Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
  }
}
