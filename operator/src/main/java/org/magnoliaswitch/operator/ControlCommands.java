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

/** The commands of {@code magnoliactl}; each returns what it prints. */
final class ControlCommands {
  private static final int FAILED = 1;
  private static final int MAX_TRIES = 5;

  /**
   * Who changes what and why.
   *
   * @param changeId names the change
   * @param author who
   * @param note why
   * @param rebase whether a raced change is planned again on top of the other one
   */
  record ChangeOptions(String changeId, String author, String note, boolean rebase) {}

  private final EntryClient client;
  private final boolean json;

  ControlCommands(EntryClient client, boolean json) {
    this.client = client;
    this.json = json;
  }

  String plan(Path directory) throws IOException, OperatorException {
    SortedMap<String, String> wanted = DeclarationDirectory.read(directory);
    DeclarationDirectory.check(wanted);
    VersionView now = client.inForce();
    List<String> lines = diff(now.parts(), wanted);
    if (json) {
      return write(new Plan(now.version(), lines));
    }
    return lines.isEmpty()
        ? "no difference from version " + now.version()
        : "against version " + now.version() + ":\n" + String.join("\n", lines);
  }

  private record Plan(long baseVersion, List<String> differences) {}

  String apply(Path directory, ChangeOptions options) throws IOException, OperatorException {
    SortedMap<String, String> wanted = DeclarationDirectory.read(directory);
    DeclarationDirectory.check(wanted);
    VersionView base = client.inForce();
    if (base.parts().equals(wanted)) {
      return result(
          new ChangeReply(ChangeReply.Status.ALREADY_ACCEPTED, base.version(), List.of()));
    }
    return change(base, wanted, options);
  }

  /** Changes one service's declaration in what is in force. */
  String edit(ServerEdit edit, ChangeOptions options) throws IOException, OperatorException {
    VersionView base = client.inForce();
    SortedMap<String, String> wanted = new TreeMap<>(base.parts());
    edit.apply(wanted);
    DeclarationDirectory.check(wanted);
    return change(base, wanted, options);
  }

  private String change(VersionView base, SortedMap<String, String> wanted, ChangeOptions options)
      throws IOException, OperatorException {
    VersionView from = base;
    SortedMap<String, String> parts = wanted;
    for (int attempt = 1; attempt <= MAX_TRIES; attempt++) {
      ChangeReply reply = client.change(request(from, parts, options));
      switch (reply.status()) {
        case ACCEPTED, ALREADY_ACCEPTED -> {
          return result(reply);
        }
        case INVALID -> throw new OperatorException(FAILED, lines("refused", reply.messages()));
        case UNDECIDED -> {
          // The same change id makes the repetition harmless.
        }
        case RACED -> {
          if (!options.rebase()) {
            throw raced(from, reply);
          }
          VersionView other = current();
          parts = Rebase.onto(from.parts(), parts, other.parts());
          from = other;
        }
      }
    }
    throw new OperatorException(
        FAILED,
        "undecided: the platform did not say whether the change was accepted; repeat the command"
            + " with --change-id "
            + options.changeId());
  }

  private static ChangeRequest request(
      VersionView from, SortedMap<String, String> parts, ChangeOptions options) {
    return new ChangeRequest(
        from.version(), options.changeId(), options.author(), options.note(), parts);
  }

  /** The latest accepted version, which may not be in force at the instance asked yet. */
  private VersionView current() throws IOException {
    List<ConfigurationStore.Head> history = client.history();
    return history.isEmpty() ? client.inForce() : client.accepted(history.getFirst().manifest());
  }

  private OperatorException raced(VersionView from, ChangeReply reply) throws IOException {
    List<String> others = diff(from.parts(), current().parts());
    return new OperatorException(
        FAILED,
        lines(
            "raced: version "
                + reply.version()
                + " was accepted since version "
                + from.version()
                + "; use --rebase to plan on top of it. It changed",
            others));
  }

  String status() throws IOException {
    InstanceStatus asked = client.status();
    List<Member> members = new ArrayList<>(asked.peers());
    members.add(asked.self());
    members.sort((a, b) -> a.instance().compareTo(b.instance()));
    Map<String, String> lines = new LinkedHashMap<>();
    for (Member member : members) {
      lines.put(member.instance(), statusOf(member));
    }
    if (json) {
      return write(lines);
    }
    StringBuilder text = new StringBuilder();
    lines.forEach((name, line) -> text.append(name).append(' ').append(line).append('\n'));
    return text.toString().stripTrailing();
  }

  private String statusOf(Member member) {
    try (EntryClient other = client.at(member)) {
      InstanceStatus status = other.status();
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
    return json ? write(lines) : String.join("\n", lines);
  }

  String show() throws IOException {
    VersionView view = client.inForce();
    if (json) {
      return write(view);
    }
    StringBuilder text = new StringBuilder("version " + view.version());
    view.parts()
        .forEach((path, part) -> text.append("\n--- ").append(path).append('\n').append(part));
    return text.toString();
  }

  String leavingNow(String server) throws IOException {
    client.leaving(server);
    return json ? write(Map.of("leaving", server)) : server + " gets no new work";
  }

  private String result(ChangeReply reply) throws JsonProcessingException {
    if (json) {
      return write(reply);
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

  private static String lines(String head, List<String> lines) {
    return head + ":\n" + String.join("\n", lines);
  }

  private static String write(Object value) throws JsonProcessingException {
    return Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
  }
}
